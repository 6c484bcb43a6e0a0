package clovermill.prove.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ResultTableTest {

    @TempDir
    private Path folder;

    @Test
    void readsBackRowsAndReplacedComments() throws Exception {
        Path file = folder.resolve("capacity/scale.csv");
        ResultTable table = new ResultTable();
        table.comment("command", "first");
        table.comment("command", "make prove-scale");
        table.add("hollow", 60, "9.1", "bytes_out", 1234.567, "B/s", "fleet, accord");
        table.addVoid("hollow", 60, "36", "bytes_out", "B/s", "late");
        table.write(file);
        assertThat(Files.readAllLines(file)).containsExactly("# command: make prove-scale",
                "kind,size,rate,metric,value,unit,note", "hollow,60,9.1,bytes_out,1235,B/s,fleet; accord",
                "hollow,60,36,bytes_out,void,B/s,late");
        ResultTable again = ResultTable.read(file);
        assertThat(again.rows()).isEqualTo(table.rows());
        assertThat(again.value("hollow", 60, "9.1", "bytes_out")).hasValue(1235);
        assertThat(again.value("hollow", 60, "36", "bytes_out")).isEmpty();
    }

    @Test
    void removesRowsOfOneSizeByKind() {
        ResultTable table = new ResultTable();
        table.add("hollow", 60, "0", "lost", 0, "deliveries", "");
        table.add("hollow", 180, "0", "lost", 0, "deliveries", "");
        table.add("change", 60, "0", "changes", 3, "changes", "");
        table.remove(60, kind -> kind.equals("hollow"));
        assertThat(table.rows()).extracting(ResultTable.Row::size).containsExactly(180, 60);
        table.remove(60, kind -> true);
        assertThat(table.rows()).extracting(ResultTable.Row::size).containsExactly(180);
    }

    @Test
    void formatsFiguresWithFourDigits() {
        assertThat(ResultTable.number(0.0012345)).isEqualTo("0.001235");
        assertThat(ResultTable.number(12.3456)).isEqualTo("12.35");
        assertThat(ResultTable.number(123456.7)).isEqualTo("123457");
        assertThat(ResultTable.number(20)).isEqualTo("20");
    }
}
