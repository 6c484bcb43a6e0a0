package clovermill.director;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Plays every file of the scenarios folder; what each guards against stands in its first lines. */
class ScenarioTest {

    /** Guards the first requests against a start that has used up the processor time ahead. */
    @Test
    void aDirectorSettlesBeforeItSaysThatItIsReady() throws Exception {
        try (Scenario scenario = new Scenario(1_000_000)) {
            scenario.run(List.of("wait 990", "send c1 ready 1", "expect c1 unready 1", "wait 10", "send c1 ready 2",
                    "expect c1 ready 2"));
        }
    }

    /** Clients may go on sending while their connection is open: members answer after 40 ms, so one is never idle. */
    @Test
    void aClientThatNeverPausesIsBroughtToAMomentWithNothingOpen() throws Exception {
        List<String> lines = new ArrayList<>();
        int signalled = 10;
        int turnedAway = signalled + 120;
        for (int i = 1; i <= turnedAway + 4; i++) {
            lines.add("send c1 request " + i + " class=page id=" + id(i) + " wait=3000 key=7f3a9c21e0b4d655");
            lines.add(i <= turnedAway ? "expect s-1 want " + id(i) : "expect c1 refused " + i + " after=1");
            lines.add("wait 10");
            if (i > 4 && i <= turnedAway + 4) {
                lines.add("send s-1 " + id(i - 4) + " DONE etag=t1,made=5 | hello");
                lines.add("expect c1 served " + (i - 4) + " | hello");
            }
            if (i == signalled) {
                lines.addAll(List.of("send director TERM", "expect c1 leaving 0"));
            }
        }
        lines.addAll(List.of("wait 10", "expect c1 closed", "wait 100", "expect director stopped"));
        try (Scenario scenario = new Scenario(0)) {
            scenario.run(lines);
        }
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    @TestFactory
    List<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            return files.sorted().map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> {
                try (Scenario scenario = new Scenario(0, null, file.getFileName().toString().startsWith("upgrade"))) {
                    scenario.run(Files.readAllLines(file));
                }
            })).toList();
        }
    }
}
