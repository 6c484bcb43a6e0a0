package clovermill.controlplane.reload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.config.Config;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.ManualClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigReloaderTest {

    @TempDir
    private Path folder;

    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);
    private final Deadlines deadlines = new Deadlines();

    private Path write(String name) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9").replace("\"name\":\"n1\"", "\"name\":\"" + name + "\""));
        return file;
    }

    private void passInterval() {
        clock.passUs(ConfigReloader.CHECK_INTERVAL_US);
        deadlines.sweep(clock.micros());
    }

    /** Where SIGHUP is not delivered nothing else would ever read a later file. */
    @Test
    void aConfigurationThatCannotBeAppliedDoesNotEndThePolling() throws Exception {
        Path file = write("first");
        List<String> applied = new ArrayList<>();
        ConfigReloader reloader =
                new ConfigReloader(file, clock, deadlines, Config.load(file.toString(), null), config -> {
                    if (config.name().equals("second-file")) {
                        throw new IllegalStateException("cannot be applied");
                    }
                    applied.add(config.name());
                });
        reloader.pollAlways();
        write("second-file");
        assertThatThrownBy(this::passInterval).hasMessage("cannot be applied");
        write("the-third-of-all-files");
        passInterval();
        assertThat(applied).containsExactly("the-third-of-all-files");
    }

    /** The file stays as it is, so only a further check reads it. */
    @Test
    void aFileThatCannotBeReadForAWhileIsAppliedAfterwards() throws Exception {
        Path file = write("first");
        List<String> applied = new ArrayList<>();
        int[] failures = {10};
        ConfigReloader reloader = new ConfigReloader(file, () -> {
            if (failures[0]-- > 0) {
                throw new IOException("Too many open files");
            }
            return Files.readString(file);
        }, clock, deadlines, Config.load(file.toString(), null), config -> applied.add(config.name()));
        write("second-file");
        reloader.reload();
        for (int i = 0; i < 9; i++) {
            passInterval();
        }
        assertThat(applied).isEmpty();
        passInterval();
        assertThat(applied).containsExactly("second-file");
    }
}
