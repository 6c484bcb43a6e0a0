package clovermill;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.BufferedReader;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a director as a process: its log lines, signals and exit status. */
class MainTest {

    @TempDir
    private Path folder;

    private static final String SOCKET_UNAVAILABLE = "WARNING the clients' listening socket is not available yet";
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    /** Starts a director, optionally from a shell that first runs a command, such as one that ignores signals. */
    private Process start(String config, String... shell) throws IOException {
        Files.writeString(file(), config);
        return startOnFile(shell);
    }

    private Process startOnFile(String... shell) throws IOException {
        List<String> command = new ArrayList<>();
        if (shell.length > 0) {
            command.addAll(List.of("sh", "-c", shell[0] + "; exec \"$0\" \"$@\""));
        }
        command.addAll(List.of(JAVA, "-cp", System.getProperty("java.class.path"),
                "-Djava.util.logging.SimpleFormatter.format=%4$s %5$s%6$s%n", "clovermill.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        Path file = file();
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().remove("BALANCER_LISTEN");
        return builder.redirectErrorStream(true).start();
    }

    private Path file() {
        return folder.resolve("config.json");
    }

    /** A configuration with the discovery service at {@code channelPort} and endpoints that do not listen. */
    private static String config(int channelPort) throws IOException {
        return Files.readString(Path.of("src/test/resources/director.json"))
                .replace("${channel}", "127.0.0.1:" + channelPort).replaceAll("\\$\\{[^}]*}", "127.0.0.1:1");
    }

    private static ServerSocket discoveryServer() throws IOException {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        return server;
    }

    /** Replaces the configuration by a rename, so that it is never read in part. */
    private void replace(String config) throws IOException {
        Path replacement = folder.resolve("fresh.json");
        Files.writeString(replacement, config);
        Files.move(replacement, file(), StandardCopyOption.ATOMIC_MOVE);
    }

    /** SIGHUP is ignored under nohup: the file is polled instead, and discovery moves well within the 4 s allowed. */
    @Test
    void pollsTheConfigurationIfHangUpIsIgnored() throws Exception {
        try (ServerSocket before = discoveryServer(); ServerSocket after = discoveryServer()) {
            Process process = start(config(before.getLocalPort()), "trap '' HUP");
            try (BufferedReader lines = process.inputReader(); Socket first = before.accept()) {
                assertThat(first.isConnected()).isTrue();
                assertThat(lines.readLine()).startsWith("WARNING SIGHUP is ignored in this process");
                assertThat(lines.readLine()).startsWith("INFO n1 serves clients on /127.0.0.1:");
                replace(config(after.getLocalPort()));
                assertThat(new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor()).isZero();
                long fromNs = System.nanoTime();
                after.accept().close();
                assertThat(System.nanoTime() - fromNs).isLessThan(4_000_000_000L);
            } finally {
                process.destroy();
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            }
        }
    }

    @Test
    void reloadsTheConfigurationAtHangUp() throws Exception {
        try (ServerSocket before = discoveryServer(); ServerSocket after = discoveryServer()) {
            Process process = start(config(before.getLocalPort()), ":");
            try (BufferedReader lines = process.inputReader(); Socket first = before.accept()) {
                assertThat(first.isConnected()).isTrue();
                assertThat(lines.readLine()).startsWith("INFO n1 serves clients on /127.0.0.1:");
                replace(config(after.getLocalPort()));
                assertThat(new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor()).isZero();
                after.accept().close();
            } finally {
                process.destroy();
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            }
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    /** Runs {@code meanwhile} while the process is blocked on its configuration, a pipe, then writes the pipe. */
    private void writeToPipe(Step meanwhile, String config) throws Exception {
        OutputStream pipe = new FileOutputStream(file().toFile());
        meanwhile.run();
        pipe.write(config.getBytes(StandardCharsets.US_ASCII));
        pipe.close();
    }

    /**
     * SIGHUP ends the JVM by default, and a new configuration may arrive during a restart. The configuration is a pipe,
     * so that the process blocks in the middle of its start.
     */
    @Test
    void appliesAHangUpDuringStartupOnceTheDirectorRuns() throws Exception {
        try (ServerSocket before = discoveryServer(); ServerSocket after = discoveryServer()) {
            assertThat(new ProcessBuilder("mkfifo", file().toString()).start().waitFor()).isZero();
            Process process = startOnFile();
            try (BufferedReader lines = process.inputReader()) {
                writeToPipe(() -> assertThat(new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor())
                        .isZero(), config(before.getLocalPort()));
                before.accept().close();
                writeToPipe(() -> replace(config(after.getLocalPort())), config(after.getLocalPort()));
                after.accept().close();
                assertThat(lines.readLine()).startsWith("INFO n1 serves clients on ");
            } finally {
                process.destroy();
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            }
        }
    }

    @Test
    void exitsWithZeroAtOnceIfTerminatedDuringStartup() throws Exception {
        assertThat(new ProcessBuilder("mkfifo", file().toString()).start().waitFor()).isZero();
        Process process = startOnFile();
        try {
            writeToPipe(() -> {
                process.destroy();
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            }, "");
            assertThat(process.exitValue()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }

    private Process startWithListenAddressOf(ServerSocket occupied) throws IOException {
        return start(config(1).replace("\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + occupied.getLocalPort() + "\""));
    }

    /** From the installation of the signal handlers until the loop runs, nothing may wait for the loop. */
    @Test
    void retriesAnAddressInUseAndFailsWithOneLine() throws Exception {
        try (ServerSocket occupied = discoveryServer()) {
            Process process = startWithListenAddressOf(occupied);
            try {
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isEqualTo(1);
                List<String> lines = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .lines().toList();
                assertThat(lines).hasSize(2);
                assertThat(lines.get(0)).startsWith(SOCKET_UNAVAILABLE).contains("(Address already in use)");
                assertThat(lines.get(1)).isEqualTo("clovermill: Address already in use");
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Without retries, 8 of 24 starts failed when one in ten socket calls failed. */
    @Test
    void servesOnceAnAddressInUseIsFree() throws Exception {
        ServerSocket occupied = discoveryServer();
        Process process = startWithListenAddressOf(occupied);
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith(SOCKET_UNAVAILABLE);
            occupied.close();
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on /127.0.0.1:" + occupied.getLocalPort());
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            occupied.close();
            process.destroyForcibly();
        }
    }

    /** The loop does not run yet; the platform may kill the longest deadline plus 0.7 s after the signal. */
    @Test
    void exitsAtOnceIfTerminatedWhileRetryingItsSocket() throws Exception {
        try (ServerSocket occupied = discoveryServer()) {
            Process process = startWithListenAddressOf(occupied);
            try (BufferedReader lines = process.inputReader()) {
                assertThat(lines.readLine()).startsWith(SOCKET_UNAVAILABLE);
                process.destroy();
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isZero();
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void warnsOfIgnoredTerminationAndStaleDiscovery() throws Exception {
        Process process = start(config(1), "trap '' TERM");
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith("WARNING SIGTERM is ignored in this process");
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on ");
            assertThat(lines.readLine()).contains("discovery is stale: no answer from /127.0.0.1:1 for 3000 ms");
        } finally {
            process.destroyForcibly();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** The deployment's memory limits, with the largest allocations of a ledger at startup. */
    @Test
    void opensALedgerWithinTheDeploymentsMemoryLimits() throws Exception {
        Path settings = folder.resolve("settings.json");
        Files.writeString(settings, "{\"log\":{\"format\":\"json\"},\"ledger\":{\"folder\":\""
                + folder.resolve("l") + "\",\"stage_folder\":\"" + folder + "\"}}");
        Files.writeString(file(), config(1));
        ProcessBuilder builder = new ProcessBuilder(JAVA, "-Xmx88m", "-XX:MaxDirectMemorySize=8m", "-cp",
                System.getProperty("java.class.path"), "clovermill.cli.Main", "serve", "--settings",
                settings.toString());
        builder.environment().put("BALANCER_CONFIG", file().toString());
        builder.environment().remove("BALANCER_LISTEN");
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).contains("begins epoch 1").startsWith("{").endsWith("}");
            assertThat(lines.readLine()).contains("n1 serves clients on ");
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(process.exitValue()).isZero();
    }

    @Test
    void reportsAnInvalidConfigurationInOneLineAndExitsWith1() throws Exception {
        Process process = start("{\"name\":\"n1\"}");
        String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).isEqualTo(1);
        assertThat(printed.lines()).containsExactly("clovermill: the configuration: an object was expected: settings");
    }

    /**
     * The platform passes the listening socket as descriptor 0. A second process of the same director takes part in the
     * handover while clients keep connecting, and the first one logs until it exits.
     */
    @Test
    void handsOverTheInheritedSocketToTheNextProcess() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl hands down the socket");
        Files.writeString(file(), config(1));
        Path ports = folder.resolve("ports");
        String listen = "socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK)); listen(S, 9);"
                + "open(P, '>', $ARGV[0]); print P (sockaddr_in(getsockname(S)))[0]; close(P); open(STDIN, '<&', S);"
                + "exec(@ARGV[1 .. $#ARGV]);";
        String twice = "\"$@\" & one=$!; read _; \"$@\" & two=$!; read _; kill $one; wait $one; echo first $?;"
                + " read _; kill $two; wait $two; echo second $?";
        ProcessBuilder builder = new ProcessBuilder("/usr/bin/perl", "-MSocket", "-e", listen, ports.toString(),
                "/bin/sh", "-c", "exec 3<&0 4<" + fifo() + "; run() { exec \"$@\" 0<&3; }; "
                        + twice.replace("\"$@\" &", "run \"$@\" &").replace("read _", "read _ 0<&4"),
                "sh", JAVA, "-cp",
                System.getProperty("java.class.path"),
                "-Djava.util.logging.SimpleFormatter.format=%4$s %5$s%6$s%n", "clovermill.cli.Main", "serve");
        builder.environment().putAll(Map.of("BALANCER_CONFIG", file().toString(), "BALANCER_PASSED_SOCKET", "0",
                "TMPDIR", folder.toString()));
        builder.environment().remove("BALANCER_LISTEN");
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader lines = process.inputReader();
                OutputStream steps = new FileOutputStream(folder.resolve("steps").toFile())) {
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on ");
            int port = Integer.parseInt(Files.readString(ports));
            assertThat(isReady(port)).isTrue();
            steps.write('\n');
            steps.flush();
            assertThat(readUntil(lines, "INFO n1 serves")).anyMatch(line -> line.endsWith("of this director is here"));
            assertThat(isReady(port)).isTrue();
            steps.write('\n');
            steps.flush();
            assertThat(readUntil(lines, "first 0")).anyMatch(line -> line.endsWith("n1 has shut down"));
            assertThat(isReady(port)).isTrue();
            steps.write('\n');
            steps.flush();
            assertThat(lines.lines()).contains("second 0");
        } finally {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    /**
     * Idle clients exhaust the descriptors while discovery is unavailable. The listening socket is passed as descriptor
     * 0; the process is ready before and after, and serves new clients once descriptors are available again.
     */
    @Test
    void servesNewClientsAfterRunningOutOfDescriptors() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl hands down the socket");
        Files.writeString(file(), config(1).replace("\"sockets\":64", "\"sockets\":4096"));
        Path ports = folder.resolve("ports");
        String listen = "socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK));"
                + "listen(S, 1000); open(P, '>', $ARGV[0]); print P (sockaddr_in(getsockname(S)))[0]; close(P);"
                + "open(STDIN, '<&', S); exec(@ARGV[1 .. $#ARGV]);";
        ProcessBuilder builder = new ProcessBuilder("/usr/bin/perl", "-MSocket", "-e", listen, ports.toString(),
                "/bin/sh", "-c", "ulimit -n 300; exec \"$@\"", "sh", JAVA, "-cp",
                System.getProperty("java.class.path"),
                "-Djava.util.logging.SimpleFormatter.format=%4$s %5$s%6$s%n", "clovermill.cli.Main", "serve");
        builder.environment().putAll(Map.of("BALANCER_CONFIG", file().toString(), "BALANCER_PASSED_SOCKET", "0",
                "TMPDIR", folder.toString()));
        builder.environment().remove("BALANCER_LISTEN");
        Process process = builder.redirectErrorStream(true).start();
        List<Socket> idleClients = new ArrayList<>();
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on ");
            int port = Integer.parseInt(Files.readString(ports));
            assertThat(isReady(port)).isTrue();
            for (int i = 0; i < 400; i++) {
                idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            assertThat(readUntil(lines, "WARNING accepting failed")).noneMatch(line -> line.startsWith("ERROR"));
            for (Socket each : idleClients) {
                each.close();
            }
            assertThat(isReady(port)).isTrue();
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            process.destroyForcibly();
            for (Socket each : idleClients) {
                each.close();
            }
        }
    }

    private static List<String> readUntil(BufferedReader lines, String start) throws IOException {
        List<String> read = new ArrayList<>();
        for (String line = ""; line != null && !line.startsWith(start); line = lines.readLine()) {
            read.add(line);
        }
        return read;
    }

    private Path fifo() throws Exception {
        Path steps = folder.resolve("steps");
        assertThat(new ProcessBuilder("mkfifo", steps.toString()).start().waitFor()).isZero();
        return steps;
    }

    /** Sends a readiness frame; waits for the answer even if the director does not serve yet. */
    private static boolean isReady(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(new byte[] {6, 0, 0, 0, 6, 1, 0, 0, 0, 0});
            byte[] answer = socket.getInputStream().readNBytes(11);
            return answer.length == 11 && answer[4] == 7 && answer[9] == 79;
        }
    }

    @Test
    void exitsWithZeroOnTermination() throws Exception {
        Process process = start(config(1));
        try (BufferedReader lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith("INFO n1 serves clients on /127.0.0.1:");
            // SIGHUP must not end the process; an unreadable new configuration is logged in one line.
            Files.writeString(folder.resolve("config.json"), "{");
            assertThat(new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor()).isZero();
            assertThat(lines.readLine()).startsWith("WARNING the new configuration is not used: ");
            process.destroy();
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(process.exitValue()).isZero();
    }
}
