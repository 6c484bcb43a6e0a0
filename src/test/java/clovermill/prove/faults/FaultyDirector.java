package clovermill.prove.faults;

import clovermill.prove.DirectorProcess;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A {@code serve} process that runs with the fault library loaded and uses the fake caches. */
final class FaultyDirector {

    /** The platform allows 10 s until a director is ready; the rest is margin for a busy machine. */
    private static final long READY_TIMEOUT_MS = 15_000;
    /** Time from SIGTERM to SIGKILL on the platform: the longest deadline (3 s at most) and 0.7 s. */
    private static final long SHUTDOWN_TIMEOUT_MS = 3_700;
    private static final int FIRST_PORT = 20_000;
    /** The default lower end of Linux's ip_local_port_range. */
    private static final int FIRST_CONNECTION_PORT = 32_768;
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    final int port;
    private final int adminPort;
    private final Process process;

    private FaultyDirector(int port, int adminPort, Process process) {
        this.port = port;
        this.adminPort = adminPort;
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param stateFolder its TMPDIR, in which files fail as the control file specifies
     * @param calls rules for the library, or an empty string
     * @param passSocket whether to pass it its listening socket, so that it records outages in its TMPDIR
     */
    static FaultyDirector start(Path root, Path library, FaultControl control, Path stateFolder,
            Map.Entry<String, String> channel, String calls, int seed, boolean passSocket) throws IOException {
        Path file = DirectorProcess.configuration(root, channel, 1, 1);
        ObjectNode config = configure(file);
        ProcessBuilder builder = new ProcessBuilder(List.of(JAVA, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xmx88m", "-cp", System.getProperty("java.class.path"), "clovermill.cli.Main", "serve"));
        Map<String, String> environment = builder.environment();
        environment.put("BALANCER_CONFIG", file.toString());
        environment.remove("BALANCER_LISTEN");
        environment.put("TMPDIR", stateFolder.toString());
        environment.put("LD_PRELOAD", library.toString());
        environment.put("FAULT_CONTROL", control.file.toString());
        environment.put("FAULT_FOLDER", stateFolder.toString());
        environment.put("FAULT_SEED", Integer.toString(seed));
        if (passSocket) {
            environment.put("FAULT_LISTEN", Integer.toString(port(config, "listen")));
            environment.put("BALANCER_PASSED_SOCKET", "0");
        }
        if (!calls.isEmpty()) {
            environment.put("FAULT_CALLS", calls);
        }
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(root).toFile())).start();
        return new FaultyDirector(port(config, "listen"), port(config, "admin"), process);
    }

    /** Sets free ports and the limits that {@link RuleChecker} checks in a configuration file. */
    private static ObjectNode configure(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(file));
        config.put("listen", "127.0.0.1:" + freePort()).put("admin", "127.0.0.1:" + freePort());
        ObjectNode settings = (ObjectNode) config.get("settings");
        ((ObjectNode) settings.get("rules")).put("drain-grace-us", RuleChecker.DRAIN_GRACE_US)
                .put("cold-from", RuleChecker.SLOW_START_INITIAL_SHARE).put("cold-us", RuleChecker.SLOW_START_US)
                .put("tip-multiple", RuleChecker.OVERLOAD_MULTIPLE).put("tip-after-us", RuleChecker.OVERLOAD_WINDOW_US);
        ((ObjectNode) settings.get("family-info")).put("peers-fill", "location")
                .put("notice-time-us", RuleChecker.PURGE_NOTICE_US);
        Files.writeString(file, mapper.writeValueAsString(config));
        return config;
    }

    /**
     * Returns a port that is not in use, below the range of ephemeral ports: one of those could be taken by a
     * connection between this check and the start.
     */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_CONNECTION_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
    }

    private static int port(ObjectNode config, String field) {
        return Integer.parseInt(config.get(field).asText().replaceAll(".*:", ""));
    }

    /** Returns the log file of all directors started below a folder. */
    static Path log(Path root) {
        return root.resolve("director.log");
    }

    /** Waits until the director is ready; returns false if it is not in time. */
    boolean awaitReady() throws InterruptedException {
        long deadlineNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        while (process.isAlive() && System.nanoTime() < deadlineNs) {
            if (callAdmin("GET /ready HTTP/1.1\r\n\r\n")) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** Disables a cache through the admin service; returns true if the director acknowledged it. */
    boolean disable(String cache) {
        String body = "{\"id\":\"" + cache + "\"}";
        return callAdmin("PUT /caches/disable HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private boolean callAdmin(String text) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", adminPort), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .startsWith("HTTP/1.1 200");
        } catch (IOException unreachable) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM; returns an error message, or null if the process ended in time and with status 0. */
    String shutDown() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            return "a director was still running " + SHUTDOWN_TIMEOUT_MS + " ms after SIGTERM";
        }
        return process.exitValue() == 0 ? null : "a director exited with status " + process.exitValue();
    }

    /** Sends SIGKILL and waits until the process has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
