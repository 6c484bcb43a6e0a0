package clovermill.prove;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
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
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Long proof of upgrades ({@code make prove-upgrade}): successive processes share one listening socket under load, some
 * are killed before they are ready, and no request may be lost, get two responses or fail to connect.
 */
public final class UpgradeProof {

    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    /** Perl script that owns the socket as the platform does; starts processes on it and reports exit statuses. */
    private static final String HOLDER = "use Socket; use IO::Handle; STDOUT->autoflush(1);"
            + "socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK)); listen(S, 512);"
            + "print((sockaddr_in(getsockname(S)))[0] . qq{\\n}); while (<STDIN>) { chomp; my ($do, $what) = split / /;"
            + "if ($do eq 'wait') { waitpid($what, 0); print(($? >> 8) . ' ' . ($? & 127) . qq{\\n}); next }"
            + "my $pid = fork(); if (!$pid) { $ENV{BALANCER_ADMIN} = $what; open(STDIN, '<&', S); close(S);"
            + "open(STDOUT, '>>', $ENV{DIRECTOR_LOG}); open(STDERR, '>&', STDOUT); exec(@ARGV) } print qq{$pid\\n}; }";
    private static final int SOCKETS = 256;
    private static final int MAX_MEMORY_MB = 192;
    private static final long READY_TIMEOUT_MS = 15_000;
    /** Time from SIGTERM to SIGKILL on the platform: the longest deadline (3 s at most) and 0.7 s. */
    private static final long SHUTDOWN_TIMEOUT_MS = 3_700;

    private final Path root = Files.createTempDirectory("prove-upgrade");
    private final Random random;
    private final TreeMap<String, Object> figures = new TreeMap<>();
    private Process holder;
    private BufferedReader holderOutput;
    private long maxPssKb;
    private int maxDescriptors;
    private long longestShutdownMs;
    private int abnormalExits;

    private UpgradeProof(long seed) throws IOException {
        this.random = new Random(seed);
    }

    /** System properties: upgrades, perSecond, seed. */
    public static void main(String[] args) throws Exception {
        UpgradeProof proof = new UpgradeProof(Long.getLong("seed", 7));
        boolean holds = proof.run(Integer.getInteger("upgrades", 40), Integer.getInteger("perSecond", 300));
        System.out.println(proof.line(holds));
        System.exit(holds ? 0 : 1);
    }

    /** Runs a short form for the tests; returns the result line, which ends with {@code holds=true} if it passes. */
    static String runShort(int upgrades, int requestsPerSecond) throws Exception {
        UpgradeProof proof = new UpgradeProof(7);
        return proof.line(proof.run(upgrades, requestsPerSecond));
    }

    private String line(boolean holds) {
        StringBuilder line = new StringBuilder("prove-upgrade:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" holds=").append(holds).toString();
    }

    private boolean run(int upgrades, int requestsPerSecond) throws Exception {
        try (FakeUpstreams upstreams = new FakeUpstreams()) {
            int port = startHolder(upstreams);
            int kills = 0;
            Running now = start();
            awaitReady(now);
            LoadGenerator load = new LoadGenerator(port, requestsPerSecond, 7);
            for (int i = 0; i < upgrades; i++) {
                if (i % 3 == 2) {
                    Running failing = start();
                    Thread.sleep(random.nextInt(900));
                    signal("KILL", failing.pid);
                    awaitExit(failing.pid);
                    kills++;
                }
                Running next = start();
                awaitReady(next);
                measure(now.pid, next.pid);
                Thread.sleep(random.nextInt(300));
                callCacheOperation(now.admin, random.nextBoolean() ? "disable" : "enable");
                callCacheOperation(next.admin, "enable");
                long fromNs = System.nanoTime();
                signal("TERM", now.pid);
                abnormalExits += awaitExit(now.pid).equals("0 0") ? 0 : 1;
                longestShutdownMs = Math.max(longestShutdownMs, (System.nanoTime() - fromNs) / 1_000_000);
                now = next;
            }
            load.drain(5_000);
            signal("TERM", now.pid);
            abnormalExits += awaitExit(now.pid).equals("0 0") ? 0 : 1;
            load.close();
            return evaluate(upgrades, kills, load, upstreams);
        } finally {
            if (holder != null) {
                holder.descendants().forEach(ProcessHandle::destroyForcibly);
                holder.destroyForcibly();
            }
            try (Stream<Path> all = Files.walk(root)) {
                all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        }
    }

    private boolean evaluate(int upgrades, int kills, LoadGenerator load, FakeUpstreams upstreams) {
        long duplicateOrders = upstreams.orders.values().stream().mapToLong(AtomicLong::get).filter(n -> n > 1).count();
        long unanswered = load.requests - load.responses - load.lost;
        figures.put("upgrades", upgrades);
        figures.put("kills", kills);
        figures.put("requests", load.requests);
        figures.put("served", load.served);
        figures.put("lost", load.lost + unanswered);
        figures.put("door", load.connectFailures);
        figures.put("twice", load.duplicates);
        figures.put("orders_twice", duplicateOrders);
        figures.put("bad_ends", abnormalExits);
        figures.put("both_pss_mb", maxPssKb / 1024);
        figures.put("both_descriptors", maxDescriptors);
        figures.put("longest_leave_ms", longestShutdownMs);
        figures.put("p99_ms", load.latencyUs.getValueAtPercentile(99) / 1000);
        return load.lost + unanswered == 0 && load.connectFailures == 0 && load.duplicates == 0 && duplicateOrders == 0
                && abnormalExits == 0
                && load.served > 0.9 * load.requests && maxPssKb / 1024 <= MAX_MEMORY_MB && maxDescriptors <= SOCKETS
                && longestShutdownMs < SHUTDOWN_TIMEOUT_MS;
    }

    private record Running(long pid, String admin) {}

    /** Starts the process that owns the listening socket; returns the socket's port. */
    private int startHolder(FakeUpstreams upstreams) throws IOException {
        Path config = root.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", upstreams.address()).replace("\"sockets\":64", "\"sockets\":" + SOCKETS));
        List<String> command = new ArrayList<>(List.of("/usr/bin/perl", "-e", HOLDER, JAVA, "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms32m", "-Xmx88m", "-Xss512k", "-XX:MaxMetaspaceSize=32m",
                "-XX:ReservedCodeCacheSize=16m", "-XX:MaxDirectMemorySize=8m", "-cp",
                System.getProperty("java.class.path"), "clovermill.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_PASSED_SOCKET", "0");
        builder.environment().put("TMPDIR", root.toString());
        builder.environment().put("DIRECTOR_LOG", root.resolve("director.log").toString());
        builder.environment().remove("BALANCER_LISTEN");
        holder = builder.start();
        holderOutput = holder.inputReader();
        return Integer.parseInt(holderOutput.readLine());
    }

    private String callHolder(String line) throws IOException {
        OutputStream out = holder.getOutputStream();
        out.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return holderOutput.readLine();
    }

    private Running start() throws IOException {
        String admin;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            admin = "127.0.0.1:" + free.getLocalPort();
        }
        return new Running(Long.parseLong(callHolder("start " + admin)), admin);
    }

    /** Waits for a process; returns its exit status and the signal that killed it. */
    private String awaitExit(long pid) throws IOException {
        return callHolder("wait " + pid);
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
    }

    private void awaitReady(Running process) throws Exception {
        for (long deadlineNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000; System.nanoTime() < deadlineNs; Thread
                .sleep(20)) {
            if (callAdmin(process.admin, "GET /ready HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 200")) {
                return;
            }
        }
        throw new IllegalStateException("not ready: " + Files.readString(root.resolve("director.log")));
    }

    private void callCacheOperation(String admin, String operation) throws IOException {
        String body = "{\"id\":\"s-1\"}";
        String answer = callAdmin(admin, "PUT /caches/" + operation + " HTTP/1.1\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
        abnormalExits += answer.startsWith("HTTP/1.1 200") ? 0 : 1;
    }

    private static String callAdmin(String admin, String text) throws IOException {
        String[] at = admin.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (java.net.ConnectException notListening) {
            return "";
        }
    }

    /** Measures both processes together: proportional set size (PSS) and number of descriptors. */
    private void measure(long one, long other) throws IOException {
        maxPssKb = Math.max(maxPssKb, pssKb(one) + pssKb(other));
        maxDescriptors = Math.max(maxDescriptors, descriptors(one) + descriptors(other));
    }

    private static long pssKb(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup")).stream()
                .filter(line -> line.startsWith("Pss:")).mapToLong(line -> Long.parseLong(line.split(" +")[1])).sum();
    }

    private static int descriptors(long pid) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) all.count();
        }
    }
}
