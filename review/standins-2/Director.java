package standins2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A director: a process of its own, started by the deploy file's {@code run}. */
public final class Director {

    private static final List<Process> STARTED = new ArrayList<>();
    private static Path folder;

    public final Process process;
    public final int port;
    public final Path config;

    private Director(Process process, int port, Path config) {
        this.process = process;
        this.port = port;
        this.config = config;
    }

    /** Returns this run's temporary folder, which {@link #endAll} deletes. */
    public static synchronized Path folder() throws IOException {
        if (folder == null) {
            folder = Files.createTempDirectory("review-case");
        }
        return folder;
    }

    /** Returns the command of the deploy file's {@code run}. */
    public static String runLine() throws IOException {
        return Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(each -> each.startsWith("run = ")).findFirst().orElseThrow()
                .replaceFirst("^run = \"(.*)\"$", "$1");
    }

    /** Starts a director with a configuration whose {@code $LISTEN} is replaced, and waits until it is ready. */
    public static Director start(String name, String configuration) throws Exception {
        for (int attempt = 1;; attempt++) {
            try {
                return startOnce(name, configuration);
            } catch (IllegalStateException failed) {
                if (attempt == 3) { // a free port may be taken before it is used
                    throw failed;
                }
            }
        }
    }

    private static Director startOnce(String name, String configuration) throws Exception {
        int port = Kit.freePort();
        Path config = folder().resolve(name + ".json");
        Files.writeString(config, configuration.replace("$LISTEN", "127.0.0.1:" + port));
        Path temporary = Files.createDirectories(folder().resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
        builder.environment().putAll(Map.of("BALANCER_NAME", name, "BALANCER_LISTEN", "127.0.0.1:" + port,
                "BALANCER_CONFIG", config.toString(), "TMPDIR", temporary.toString()));
        builder.environment().remove("BALANCER_ADMIN");
        builder.environment().remove("BALANCER_PASSED_SOCKET");
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(folder().resolve(name + ".log").toFile()).start();
        track(process);
        Director director = new Director(process, port, config);
        director.awaitReady();
        return director;
    }

    public static void track(Process process) {
        synchronized (STARTED) {
            STARTED.add(process);
        }
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 300; i++) {
            try (Client client = new Client(port)) {
                if (client.ready(500)) {
                    return;
                }
            } catch (IOException notYet) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the director has ended: " + log());
                }
            }
            Kit.sleep(100);
        }
        throw new IllegalStateException("the director is not ready: " + log());
    }

    public String log() throws IOException {
        return Files.readString(config.resolveSibling(config.getFileName().toString().replace(".json", ".log")));
    }

    /** Ends all processes that this run has started, and deletes its folder. */
    public static synchronized void endAll() {
        try {
            synchronized (STARTED) {
                for (Process each : STARTED) {
                    List<ProcessHandle> children = each.descendants().toList();
                    children.forEach(ProcessHandle::destroyForcibly);
                    each.destroyForcibly().waitFor();
                }
                STARTED.clear();
            }
            if (folder != null) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            }
        } catch (IOException | InterruptedException failure) {
            System.err.println("the processes of the case were not all ended: " + failure);
        }
    }
}
