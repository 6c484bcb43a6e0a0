package clovermill.prove;

import clovermill.routing.api.SlowStartRule;
import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A {@code serve} process that uses fake caches, and the load of its clients. */
public final class DirectorProcess {

    /** Transfer time of one part, in the fake caches and by the configuration: 400 KB at 5,000 KB a second. */
    public static final double TRANSFER_US = 80_000;
    static final int KB = 400;
    public static final SlowStartRule SLOW_START = new SlowStartRule(0.25, 6_000_000, 3, 3_000_000);
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final long READY_TIMEOUT_MS = 20_000;

    public Process process;
    public int port;
    private int adminPort;
    LoadGenerator load;

    /** Starts one of the directors of a location; {@code settings}, the file for {@code --settings}, may be null. */
    static DirectorProcess start(Path root, CacheFleet fleet, int number, int directors, Path settings)
            throws Exception {
        return start(root, fleet.channel(), number, directors, settings);
    }

    /** Starts a director with the address of a command channel and its initial endpoint list. */
    public static DirectorProcess start(Path root, Map.Entry<String, String> channel, int number, int directors,
            Path settings) throws Exception {
        DirectorProcess director = new DirectorProcess();
        director.port = freePort();
        director.adminPort = freePort();
        Path file = configuration(root, channel, number, directors, director);
        List<String> command = new ArrayList<>(List.of(JAVA, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx88m",
                "-cp", System.getProperty("java.class.path"), "clovermill.cli.Main", "serve"));
        if (settings != null) {
            command.addAll(List.of("--settings", settings.toString()));
        }
        director.launch(root, number, file, command);
        return director;
    }

    private void launch(Path root, int number, Path file, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", Files.createTempDirectory(file.getParent(), "tmp").toString());
        builder.environment().remove("BALANCER_LISTEN");
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(root, number).toFile())).start();
    }

    /** Starts a director as the platform does, by the deploy file's {@code run} line, with the given configuration. */
    public static DirectorProcess deployed(Path root, int number, Path file) throws IOException {
        String line = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(each -> each.startsWith("run = ")).findFirst().orElseThrow()
                .replaceFirst("^run = \"(.*)\"$", "$1");
        JsonNode config = new ObjectMapper().readTree(Files.readString(file));
        DirectorProcess director = new DirectorProcess();
        director.port = Integer.parseInt(config.get("listen").asText().replaceAll(".*:", ""));
        director.adminPort = Integer.parseInt(config.get("admin").asText().replaceAll(".*:", ""));
        director.launch(root, number, file, List.of("sh", "-c", line));
        return director;
    }

    /** Writes the configuration of a director that listens on free ports and returns the file. */
    public static Path configuration(Path root, Map.Entry<String, String> channel, int number, int directors)
            throws IOException {
        DirectorProcess director = new DirectorProcess();
        director.port = freePort();
        director.adminPort = freePort();
        return configuration(root, channel, number, directors, director);
    }

    private static Path configuration(Path root, Map.Entry<String, String> channel, int number, int directors,
            DirectorProcess director) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", channel.getKey()));
        config.put("name", "n" + number).put("listen", "127.0.0.1:" + director.port)
                .put("admin", "127.0.0.1:" + director.adminPort).put("seed", String.format("%016x", 77 + number));
        ((ObjectNode) config.get("limits")).put("sockets", 512);
        config.set("known", mapper.readTree(channel.getValue()));
        ObjectNode settings = (ObjectNode) config.get("settings");
        settings.put("position", number).put("fleet-size", directors);
        ObjectNode family = (ObjectNode) settings.get("family-info");
        family.put("says", "hit").put("straight", false).put("shares-fills", false).put("peers-fill", "none");
        family.putArray("crew-by-zone").add(0).add(directors);
        family.putArray("zone-link-kb-per-s").add(0).add(60_000);
        ((ObjectNode) settings.get("rules")).put("drain-grace-us", 250_000).put("cold-from", SLOW_START.initialShare())
                .put("cold-us", SLOW_START.durationUs()).put("tip-multiple", SLOW_START.overloadMultiple());
        Path file = Files.createDirectories(root.resolve("n" + number)).resolve("config.json");
        Files.writeString(file, mapper.writeValueAsString(config));
        return file;
    }

    /** Returns the log file of all starts of a director. */
    public static Path log(Path root, int number) {
        return root.resolve("n" + number + ".log");
    }

    /** Returns a free port of the loopback interface. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until the director is ready. */
    public void awaitReady() throws Exception {
        for (long deadlineNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000; System.nanoTime() < deadlineNs; Thread
                .sleep(20)) {
            if (isAccepted("GET /ready HTTP/1.1\r\n\r\n")) {
                return;
            }
        }
        throw new IllegalStateException("a director is not ready");
    }

    /** Disables or enables a cache through the admin service; returns true if the director acknowledged it. */
    boolean setDisabled(String id, boolean disabled) {
        String body = "{\"id\":\"" + id + "\"}";
        return isAccepted(
                "PUT /caches/" + (disabled ? "disable" : "enable") + " HTTP/1.1\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    private boolean isAccepted(String text) {
        return callAdmin(text).startsWith("HTTP/1.1 200");
    }

    /** Sends a call to the admin service; returns the response, or an empty string if there is none. */
    public String callAdmin(String text) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", adminPort), 1000);
            socket.setSoTimeout(4000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readAllBytes();
            return new String(answer, StandardCharsets.US_ASCII);
        } catch (IOException unreachable) {
            return "";
        }
    }

    /** Kills all processes that still run and deletes their files. */
    public static void stopAll(List<DirectorProcess> all, Path root) throws Exception {
        for (DirectorProcess each : all) {
            each.process.destroyForcibly().waitFor();
        }
        try (Stream<Path> files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
