package clovermill.reload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.config.Config;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReloaderTest {

    @TempDir
    private Path folder;

    private long nowUs = 1_700_000_000_000_000L;
    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return nowUs;
        }

        @Override
        public long unixMillis() {
            return nowUs / 1000;
        }
    };

    private Path write(String name) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9").replace("\"name\":\"n1\"", "\"name\":\"" + name + "\""));
        return file;
    }

    private void look() {
        nowUs += Reloader.LOOK_US;
        deadlines.sweep(nowUs);
    }

    /** Where SIGHUP cannot come nothing else would ever have a later file read. */
    @Test
    void aConfigurationThatCannotBeTakenDoesNotEndTheWatchOnItsFile() throws Exception {
        Path file = write("first");
        List<String> taken = new ArrayList<>();
        Reloader reloader = new Reloader(file, clock, deadlines, Config.load(file.toString(), null), config -> {
            if (config.name().equals("second-file")) {
                throw new IllegalStateException("cannot be taken");
            }
            taken.add(config.name());
        });
        reloader.watchAlways();
        write("second-file");
        assertThatThrownBy(this::look).hasMessage("cannot be taken");
        write("the-third-of-all-files");
        look();
        assertThat(taken).containsExactly("the-third-of-all-files");
    }

    /** The file stays as it is, so nothing but a further look would ever have it read. */
    @Test
    void aFileThatCannotBeReadForAWhileIsTakenAfterwards() throws Exception {
        Path file = write("first");
        List<String> taken = new ArrayList<>();
        int[] failures = {10};
        Reloader reloader = new Reloader(file, () -> {
            if (failures[0]-- > 0) {
                throw new IOException("Too many open files");
            }
            return Files.readString(file);
        }, clock, deadlines, Config.load(file.toString(), null), config -> taken.add(config.name()));
        write("second-file");
        reloader.signalled();
        for (int i = 0; i < 9; i++) {
            look();
        }
        assertThat(taken).isEmpty();
        look();
        assertThat(taken).containsExactly("second-file");
    }
}
