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

/** A {@code serve} process of our own with the library loaded, before the stand-in caches. */
final class FaultyDirector {

    /** A director is to be ready within this; the platform grants 10 s, the rest is for a busy machine. */
    private static final long READY_MS = 15_000;
    /** SIGKILL may come so long after SIGTERM: the longest deadline (3 s at most) and 0.7 s. */
    private static final long LEAVE_MS = 3_700;
    private static final int FIRST_PORT = 20_000;
    /** The lower end of Linux's ip_local_port_range, unless somebody has set it. */
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
     * @param lasting its TMPDIR, in which files fail as the control file says
     * @param calls rules for the library, or nothing
     * @param passed whether its listening socket is passed to it, so that it keeps outages in its TMPDIR
     */
    static FaultyDirector start(Path root, Path library, FaultControl control, Path lasting,
            Map.Entry<String, String> channel, String calls, int seed, boolean passed) throws IOException {
        Path file = DirectorProcess.configuration(root, channel, 1, 1);
        ObjectNode config = configure(file);
        ProcessBuilder builder = new ProcessBuilder(List.of(JAVA, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xmx88m", "-cp", System.getProperty("java.class.path"), "clovermill.cli.Main", "serve"));
        Map<String, String> environment = builder.environment();
        environment.put("BALANCER_CONFIG", file.toString());
        environment.remove("BALANCER_LISTEN");
        environment.put("TMPDIR", lasting.toString());
        environment.put("LD_PRELOAD", library.toString());
        environment.put("FAULT_CONTROL", control.file.toString());
        environment.put("FAULT_FOLDER", lasting.toString());
        environment.put("FAULT_SEED", Integer.toString(seed));
        if (passed) {
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

    /** Gives a configuration ports of its own and the rules that {@link RuleJudge} judges by. */
    private static ObjectNode configure(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(file));
        config.put("listen", "127.0.0.1:" + freePort()).put("admin", "127.0.0.1:" + freePort());
        ObjectNode settings = (ObjectNode) config.get("settings");
        ((ObjectNode) settings.get("rules")).put("drain-grace-us", RuleJudge.DRAIN_GRACE_US)
                .put("cold-from", RuleJudge.COLD_PART).put("cold-us", RuleJudge.WARM_UP_US)
                .put("tip-multiple", RuleJudge.OVERLOAD_MULTIPLE).put("tip-after-us", RuleJudge.OVERLOAD_WINDOW_US);
        ((ObjectNode) settings.get("family-info")).put("peers-fill", "location")
                .put("notice-time-us", RuleJudge.PURGE_NOTICE_US);
        Files.writeString(file, mapper.writeValueAsString(config));
        return config;
    }

    /**
     * A port that nobody listens on, below those that Linux gives to connections: one of these could be taken between
     * the look and the start.
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

    /** What all starts below a folder have logged. */
    static Path log(Path root) {
        return root.resolve("director.log");
    }

    /** Waits until it serves; whether it does in time. */
    boolean ready() throws InterruptedException {
        long untilNanos = System.nanoTime() + READY_MS * 1_000_000;
        while (process.isAlive() && System.nanoTime() < untilNanos) {
            if (say("GET /ready HTTP/1.1\r\n\r\n")) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** Has an operator take a cache out; whether the director acknowledged it. */
    boolean takeOut(String cache) {
        String body = "{\"id\":\"" + cache + "\"}";
        return say("PUT /caches/disable HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private boolean say(String text) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", adminPort), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .startsWith("HTTP/1.1 200");
        } catch (IOException notYet) {
            return false;
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    /** SIGTERM; what is wrong with its end, or null where it ended in time and with status 0. */
    String leave() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(LEAVE_MS, TimeUnit.MILLISECONDS)) {
            return "a director still ran " + LEAVE_MS + " ms after SIGTERM";
        }
        return process.exitValue() == 0 ? null : "a director left with status " + process.exitValue();
    }

    /** SIGKILL; returns once it has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
