import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A director, started from the repository's root by the deploy file's {@code run} line. */
final class Director {

    private static final List<Director> ALL = new ArrayList<>();
    final int port;
    final int admin;
    final Path config;
    final Path log;
    final Process process;
    private final Path tmp;

    /** Ends all directors that a case has started, also where the case itself is ended. */
    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(each -> each.process.destroyForcibly())));
    }

    Director(Path folder, String name, int port, int admin, String config, String moreArguments) throws IOException {
        this.port = port;
        this.admin = admin;
        this.config = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        this.tmp = Files.createDirectories(folder.resolve(name + ".tmp"));
        Files.writeString(this.config, config);
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(each -> each.startsWith("run = "))
                .findFirst().orElseThrow().replaceFirst("^run = \"(.*)\"$", "$1");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + moreArguments);
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_CONFIG", this.config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().remove("BALANCER_ADMIN");
        builder.environment().remove("BALANCER_PASSED_SOCKET");
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.to(new File(log.toString())))
                .start();
        process.getOutputStream().close();
        ALL.add(this);
    }

    /** A port that is free now, below those that the system draws for connections. */
    static int freePort() {
        while (true) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(20_000);
            try {
                new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close();
                return port;
            } catch (IOException taken) {
                // another one
            }
        }
    }

    /** Waits for a yes to {@code GET /ready}; false where the process has ended or 30 s have passed. */
    boolean awaitReady() throws InterruptedException {
        for (int i = 0; i < 600 && process.isAlive(); i++) {
            if (call("GET", "/ready", "").startsWith("HTTP/1.1 2")) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Makes an operator's call; returns the answer, empty where there is none. */
    String call(String method, String path, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", admin), 1000);
            socket.setSoTimeout(4000);
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: director\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException none) {
            return "";
        }
    }

    /** Sends a signal to the process that {@code run} started, such as HUP. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    static void endAll() throws InterruptedException {
        for (Director each : ALL) {
            each.end();
        }
    }

    void end() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** The last lines of its log. */
    List<String> logEnd(int lines) throws IOException {
        List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }
}
