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

/** Runs every file of the scenarios folder; the first lines of a file state the failure that it guards against. */
class ScenarioTest {

    /** Startup exhausts the processor quota, which would delay the first requests. */
    @Test
    void reportsReadyOnlyAfterTheSettlingTime() throws Exception {
        try (Scenario scenario = new Scenario(1_000_000)) {
            scenario.run(List.of("wait 990", "send c1 ready 1", "expect c1 unready 1", "wait 10", "send c1 ready 2",
                    "expect c1 ready 2"));
        }
    }

    /**
     * Clients may send requests while their connection is open; with answers after 40 ms it is never idle by itself.
     */
    @Test
    void shutdownClosesTheConnectionOfAClientThatKeepsSending() throws Exception {
        List<String> lines = new ArrayList<>();
        int signalAt = 10;
        int firstRejected = signalAt + 120;
        for (int i = 1; i <= firstRejected + 4; i++) {
            lines.add("send c1 request " + i + " class=page id=" + id(i) + " wait=3000 key=7f3a9c21e0b4d655");
            lines.add(i <= firstRejected ? "expect s-1 want " + id(i) : "expect c1 refused " + i + " after=1");
            lines.add("wait 10");
            if (i > 4 && i <= firstRejected + 4) {
                lines.add("send s-1 " + id(i - 4) + " DONE etag=t1,made=5 | hello");
                lines.add("expect c1 served " + (i - 4) + " | hello");
            }
            if (i == signalAt) {
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
