package clovermill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the check passes over, and what it fails on. */
class KnownRedTest {

    @TempDir
    private Path folder;

    private String checked(int status, String listed, String... testcases) throws Exception {
        Path file = folder.resolve("KNOWN-RED.txt");
        Files.writeString(file, listed);
        Files.writeString(folder.resolve("TEST-a.A.xml"), "<testsuite>\n" + String.join("\n", testcases)
                + "\n</testsuite>\n");
        Process process = new ProcessBuilder("sh", ".ci/known-red", file.toString(), folder.toString())
                .redirectErrorStream(true).start();
        String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(printed).isEqualTo(status);
        return printed;
    }

    private static String passed(String name) {
        return "  <testcase name=\"" + name + "\" classname=\"a.A\" time=\"0.1\"/>";
    }

    private static String failed(String name) {
        return "  <testcase name=\"" + name + "\" classname=\"a.A\" time=\"0.1\">\n    <failure message=\"no\"/>\n"
                + "  </testcase>";
    }

    @Test
    void justTheListedOnesMayFail() throws Exception {
        assertThat(checked(0, "a.A#one | a race | 7\n", failed("one"), passed("two"))).contains("a.A#one | a race | 7");
        assertThat(checked(0, "a.A#one | a race | 7\n", failed("one(int)[2]"))).contains("a.A#one");
        assertThat(checked(0, "# none\n", passed("two"))).isEmpty();
    }

    @Test
    void itFailsOnAnyOtherFailure() throws Exception {
        assertThat(checked(1, "a.A#one | a race | 7\n", failed("one"), failed("two")))
                .contains("failed and not listed: a.A#two");
    }

    @Test
    void itFailsOnAListedOneThatPassesOrDidNotRun() throws Exception {
        assertThat(checked(1, "a.A#one | a race | 7\n", passed("one"))).contains("listed, but passes: a.A#one");
        assertThat(checked(1, "a.A#one | a race | 7\n", passed("two"))).contains("listed, but did not run: a.A#one");
    }

    @Test
    void itFailsOnAFourthLineAndOnOneThatSaysNoCause() throws Exception {
        assertThat(checked(1, "a.A#p | c | 1\na.A#q | c | 1\na.A#r | c | 1\na.A#s | c | 1\n", failed("p"), failed("q"),
                failed("r"), failed("s"))).contains("4 tests are listed");
        assertThat(checked(1, "a.A#one\n", failed("one"))).contains("not CLASS#METHOD | cause | issue");
    }

    @Test
    void itFailsWhereNoTestHasRun() throws Exception {
        assertThat(checked(1, "a.A#one | a race | 7\n")).contains("no test has run");
    }
}
