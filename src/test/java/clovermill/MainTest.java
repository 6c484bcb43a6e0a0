package clovermill;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The process as its platform sees it: what it prints and how it exits. */
class MainTest {

    @TempDir
    private Path folder;

    private Process start(String config) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", "target/classes", "-Djava.util.logging.SimpleFormatter.format=%4$s %5$s%6$s%n",
                "clovermill.Main", "serve");
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().remove("BALANCER_LISTEN");
        return builder.redirectErrorStream(true).start();
    }

    @Test
    void aBadConfigurationIsOnePlainLineAndAnExitStatus() throws Exception {
        Process process = start("{\"name\":\"n1\"}");
        String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).isEqualTo(1);
        assertThat(printed.lines()).containsExactly("clovermill: the configuration: an object was expected: settings");
    }

    @Test
    void aDirectorThatIsAskedToStopExitsWithZero() throws Exception {
        String config = Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:1");
        Process process = start(config);
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on /127.0.0.1:");
            // SIGHUP must not end it; a configuration that cannot be read any more is one line in the log.
            Files.writeString(folder.resolve("config.json"), "{");
            assertThat(new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor()).isZero();
            assertThat(lines.readLine()).startsWith("WARNING the new configuration is not used: ");
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(process.exitValue()).isZero();
    }
}
