package clovermill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
            scenario.play(List.of("wait 990", "send c1 ready 1", "expect c1 unready 1", "wait 10", "send c1 ready 2",
                    "expect c1 ready 2"));
        }
    }

    @TestFactory
    List<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            return files.sorted().map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> {
                try (Scenario scenario = new Scenario(0, null, file.getFileName().toString().startsWith("upgrade"))) {
                    scenario.play(Files.readAllLines(file));
                }
            })).toList();
        }
    }
}
