package clovermill.prove.faults;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FaultLibraryTest {

    private static final long HOUR_SECONDS = 3600;

    @TempDir
    Path folder;

    @Test
    void buildWithoutCompilerFailsWithPackageName() {
        assertThatThrownBy(() -> FaultLibrary.build(folder, "no-such-compiler")).isInstanceOf(IOException.class)
                .hasMessage(FaultLibrary.NO_COMPILER).hasMessageContaining("gcc");
    }

    @Test
    void stepsWallClockAndFailsFilesBelowConfiguredFolder() throws Exception {
        Path library = FaultLibrary.build(folder);
        FaultControl control = new FaultControl(folder.resolve("control"));
        control.setClockOffsetMs(HOUR_SECONDS * 1000);
        long before = System.currentTimeMillis() / 1000;
        long seen = Long.parseLong(run(library, control, "date +%s").trim());
        assertThat(seen - before).isBetween(HOUR_SECONDS, HOUR_SECONDS + 60);
        assertThat(control.clockReads()).isPositive();

        Path below = Files.createDirectory(folder.resolve("below"));
        assertThat(run(library, control, "echo text > " + below + "/first && echo made")).contains("made");
        control.setDiskError(FaultControl.ENOSPC);
        long faultsBefore = control.faults();
        assertThat(run(library, control, "echo text > " + below + "/second || echo failed")).contains("failed");
        assertThat(run(library, control, "echo text > " + folder + "/third && echo made")).contains("made");
        assertThat(control.faults()).isGreaterThan(faultsBefore);
        assertThat(below.resolve("second")).doesNotExist();
    }

    /** Runs a shell command with the library and returns its standard output. */
    private String run(Path library, FaultControl control, String command) throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command);
        builder.environment().put("LD_PRELOAD", library.toString());
        builder.environment().put("FAULT_CONTROL", control.file.toString());
        builder.environment().put("FAULT_FOLDER", folder.resolve("below").toString());
        Process process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return output;
    }

    @Test
    void hundredSeedsCoverEveryScenarioAndEveryErrnoRule() {
        List<Integer> seeds = IntStream.range(0, 100).boxed().toList();
        Set<Scenario> covered = new HashSet<>(seeds.stream().map(Scenario::forSeed).toList());
        assertThat(covered).containsExactlyInAnyOrderElementsOf(
                Arrays.stream(Scenario.values()).filter(each -> each != Scenario.UNDISTURBED).toList());
        Set<String> rules = new HashSet<>();
        seeds.stream().filter(seed -> Scenario.forSeed(seed) == Scenario.ERRORS)
                .forEach(seed -> rules.addAll(Arrays.asList(Scenario.ERRORS.calls(seed).split(","))));
        Set<String> all = new HashSet<>();
        IntStream.range(0, ErrnoRules.pairCount())
                .forEach(each -> all.addAll(Arrays.asList(ErrnoRules.rulePair(each).split(","))));
        assertThat(rules).isEqualTo(all).hasSize(56);
    }
}
