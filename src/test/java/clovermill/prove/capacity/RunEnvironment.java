package clovermill.prove.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.List;

/** Writes the environment of a run as comment lines at the head of a file of measurements. */
final class RunEnvironment {

    private RunEnvironment() {}

    /** Adds the command, the revision, the machine and the date. */
    static void describe(FigureFile file, String command) throws IOException, InterruptedException {
        file.comment(command);
        file.comment("revision " + revision());
        file.comment("machine " + machine());
        file.comment("date " + LocalDate.now(ZoneOffset.UTC));
    }

    private static String revision() throws IOException, InterruptedException {
        String changes = output("git", "status", "--porcelain", "--untracked-files=no", "src/main", "deploy");
        return output("git", "rev-parse", "--short", "HEAD") + (changes.isEmpty() ? "" : " with changes in src/main");
    }

    private static String machine() throws IOException {
        List<String> models = Files.readAllLines(Path.of("/proc/cpuinfo")).stream()
                .filter(line -> line.startsWith("model name")).map(line -> line.replaceAll(".*: ", "")).toList();
        return models.size() + " virtual cores of " + models.get(0) + " and Java "
                + System.getProperty("java.version") + " on loopback";
    }

    private static String output(String... command) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        if (process.waitFor() != 0) {
            throw new IOException(String.join(" ", command) + ": " + text);
        }
        return text;
    }
}
