package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that the capacity page matches its CSV files and has no other figures. */
class CapacityTablesTest {

    private static final List<String> FILE = List.of("# make it", Figure.HEADER,
            "speed,60,0,cpu,1.5,%,", "speed,60,9.1,cpu,2.5,%,", "speed,180,0,cpu,3.5,%,late, and so void",
            "fit,,,slope,0.25,us,per director");

    private static CapacityTables tables(List<String> lines) {
        return new CapacityTables(Map.of("run", FigureFile.parse("run.csv", lines)));
    }

    @Test
    void pageMatchesCsvFiles() throws IOException {
        String page = Files.readString(CapacityTables.PAGE);
        assertThat(new CapacityTables(CapacityTables.readAll()).render(page))
                .as("docs/CAPACITY.md is out of date: make capacity-page").isEqualTo(page);
    }

    @Test
    void derivedFileMatchesMeasurements() throws IOException {
        assertThat(CapacityModel.derive(CapacityTables.measured()).figures())
                .as("docs/capacity/derived.csv is out of date: make capacity-page")
                .containsExactlyElementsOf(CapacityTables.readAll().get(CapacityModel.NAME).figures());
    }

    @Test
    void proseOfPageHasNoFigures() throws IOException {
        assertThat(CapacityTables.figuresInProse(Files.readString(CapacityTables.PAGE))).isEmpty();
    }

    @Test
    void tableHasLineForEachSizeAndRate() {
        assertThat(tables(FILE).render("a\n<!-- table: run/speed -->\nold\n<!-- end -->\nb\n")).isEqualTo("""
                a
                <!-- table: run/speed -->
                | size | rate | cpu (%) | note |
                | --- | --- | --- | --- |
                | 60 | 0 | 1.5 |  |
                | 60 | 9.1 | 2.5 |  |
                | 180 | 0 | 3.5 | late, and so void |

                From `docs/capacity/run.csv`, kind `speed`; make it.
                <!-- end -->
                b
                """);
    }

    @Test
    void tableWithoutSizesHasLineForEachMetric() {
        assertThat(tables(FILE).render("<!-- table: run/fit -->\n<!-- end -->"))
                .contains("| slope | 0.25 | us | per director |");
    }

    @Test
    void spanShowsOneValue() {
        String page = "It is <!--= run/speed/60/9.1/cpu -->9%<!--/-->, <!--= run/fit///slope --><!--/--> each.";
        assertThat(tables(FILE).render(page)).isEqualTo(
                "It is <!--= run/speed/60/9.1/cpu -->2.5%<!--/-->, <!--= run/fit///slope -->0.25 us<!--/--> each.");
    }

    @Test
    void failsOnReferenceToMissingFigure() {
        assertThatThrownBy(() -> tables(FILE).render("<!--= run/speed/540/0/cpu -->9%<!--/-->"))
                .hasMessageContaining("run.csv has no figure speed/540/0/cpu");
        assertThatThrownBy(() -> tables(FILE).render("<!--= scale/speed/540/0/cpu -->9%<!--/-->"))
                .hasMessageContaining("no file scale.csv");
        assertThatThrownBy(() -> tables(FILE).render("<!-- table: run/speeds -->\n<!-- end -->"))
                .hasMessageContaining("run.csv has no rows of kind speeds");
    }

    @Test
    void showsOpenForMissingFiguresOnlyInOptionalReferences() {
        String rendered = tables(FILE).render(
                "<!--? run/speed/540/0/cpu --><!--/--> <!--? scale/fit///slope --><!--/--> "
                        + "<!--? run/fit///slope -->OPEN<!--/-->\n<!-- table? run/no -->\n<!-- end -->");
        assertThat(rendered)
                .isEqualTo("<!--? run/speed/540/0/cpu -->OPEN<!--/--> <!--? scale/fit///slope -->OPEN<!--/--> "
                        + "<!--? run/fit///slope -->0.25 us<!--/-->\n<!-- table? run/no -->\nOPEN\n<!-- end -->");
    }

    @Test
    void showsFileWithOtherColumnsUnchanged() {
        assertThat(tables(List.of("# make it", "kind,over,slope", "hollow,size,0.5"))
                .render("<!-- table: run -->\n<!-- end -->")).isEqualTo("""
                        <!-- table: run -->
                        | kind | over | slope |
                        | --- | --- | --- |
                        | hollow | size | 0.5 |

                        From `docs/capacity/run.csv`; make it.
                        <!-- end -->""");
    }

    @Test
    void transposesTableWithManyMetrics() {
        List<String> wide = new ArrayList<>(List.of(Figure.HEADER));
        for (int i = 0; i < 12; i++) {
            wide.add("speed,60,0,m" + i + "," + i + ",s,");
        }
        assertThat(tables(wide).render("<!-- table: run/speed -->\n<!-- end -->")).contains("| size, rate | 60, 0 |",
                "| m11 (s) | 11 |");
    }

    @Test
    void changedFigureChangesPage() {
        String page = tables(FILE).render("<!-- table: run/fit -->\n<!-- end -->\n<!--= run/fit///slope --><!--/-->");
        List<String> changed = FILE.stream().map(line -> line.replace("0.25", "0.26")).toList();
        assertThat(tables(changed).render(page)).isNotEqualTo(page).doesNotContain("0.25");
        assertThat(tables(FILE).render(page)).isEqualTo(page);
    }

    @Test
    void rejectsMalformedRowsAndHeadersAndDuplicates() {
        assertThatThrownBy(() -> tables(List.of(Figure.HEADER, "speed,60,cpu,1.5"))).hasMessageContaining("4 cells");
        assertThatThrownBy(() -> tables(List.of("name,value", "speed,1"))).hasMessageContaining("header");
        assertThatThrownBy(() -> tables(List.of(Figure.HEADER, "a,,,m,1,,", "a,,,m,2,,")))
                .hasMessageContaining("duplicate figure");
    }

    @Test
    void findsFiguresInProseButNotInCodeTablesOrSpans() {
        assertThat(CapacityTables.figuresInProse("takes 7.1 s, 12% or 3 KB/s; `lease = 10 s`; 540 directors;"
                + " <!--= run/fit///slope -->0.25 us<!--/-->\n<!-- table: run/fit -->\n| 9 MB |\n<!-- end -->"))
                .containsExactly("7.1 s", "12%", "3 KB/s");
    }
}
