package standins2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upgrade while discovery is down. A cache has drained and gone, a cache of another location has its address now, and
 * the process in service was told so. Does the next process send requests to that address?
 */
public final class StaleSuccessor {

    /** Owns the clients' listening socket as the platform does, and starts processes that inherit it as descriptor 0. */
    private static final String HOLDER = "use Socket; use IO::Handle; STDOUT->autoflush(1);"
            + "socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK)); listen(S, 512);"
            + "print((sockaddr_in(getsockname(S)))[0] . qq{\\n}); while (<STDIN>) { chomp; my ($admin, $log) = split / /;"
            + "my $pid = fork(); if (!$pid) { $ENV{BALANCER_ADMIN} = $admin; open(STDIN, '<&', S); close(S);"
            + "open(STDOUT, '>', $log); open(STDERR, '>&', STDOUT); exec('/bin/sh', '-c', $ARGV[0]) } print qq{$pid\\n}; }";
    private static final long DOWN_MS = 8000;
    /** What the command channel tells binds 2 s after the yes; then the grace for drains and 50 ms. */
    private static final long BINDS_MS = 2000 + 500 + 50;

    private final Record record;
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private volatile long takenMs = Long.MAX_VALUE / 2;
    private volatile long yesMs = Long.MAX_VALUE / 2;
    private Process holder;
    private BufferedReader started;

    private StaleSuccessor(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new StaleSuccessor(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", this::serve);
        Server parent = new Server("p-1", this::serve);
        Server[] caches = new Server[3];
        for (int i = 0; i < caches.length; i++) {
            caches[i] = new Server("s-" + (i + 1), this::serve);
        }
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member(caches[0], "ready"), Settings.member(caches[1], "ready"),
                Settings.member(caches[2], "ready"), Settings.member(parent, "ready"),
                Settings.member(origin, "ready")));
        int port = openSocket(Settings.configuration(channel.address(), channel.known(), Settings.ORDER)
                .replace("[\"north\",\"edge\"]", "[\"north\",\"edge\",\"west\"]")
                .replace("\"attached-to\":[0,0],\"crew-by-zone\":[0,1]", "\"attached-to\":[0,0,0],\"crew-by-zone\":[0,1,1]"));
        int firstAdmin = Kit.freePort();
        long first = start(firstAdmin, "first.log");
        awaitYes(firstAdmin);
        record.line("the first process says yes");
        Load load = new Load(port);
        Kit.sleep(3000);
        channel.add(Settings.nodes(2, false, Settings.member(caches[1], "draining")));
        record.line("channel: s-2 drains");
        Kit.sleep(3000);
        channel.add(Settings.nodes(3, false, Settings.member(caches[1], "gone")));
        record.line("channel: s-2 is gone");
        Kit.sleep(2000);
        channel.add(Settings.nodes(4, false,
                Settings.member("s-9", caches[1].address, "west", "std", 9, "ready", 60, System.currentTimeMillis())));
        takenMs = record.ms();
        record.line("channel: s-9 of the location west is ready at the address that s-2 had");
        Kit.sleep(5000);
        int byFirst = foreign.get();
        long downMs = record.ms();
        if (Kit.trouble()) {
            channel.down();
            record.line("trouble: discovery is down");
        }
        int nextAdmin = Kit.freePort();
        start(nextAdmin, "next.log");
        record.line("the next process is started");
        awaitYes(nextAdmin);
        yesMs = record.ms();
        record.line("the next process says yes, " + (yesMs - downMs) + " ms after discovery went down");
        Kit.sleep(1000);
        signal("TERM", first);
        record.line("SIGTERM to the first process");
        Kit.sleep(downMs + DOWN_MS - record.ms());
        if (Kit.trouble()) {
            channel.up();
            record.line("discovery is up again");
        }
        Kit.sleep(4000);
        load.stop = true;
        Kit.sleep(500);
        record.line("asked " + load.asked + ", served " + load.served + "; requests that s-9 of another location got: "
                + foreign + " (of the first process alone: " + byFirst + "), later than " + BINDS_MS
                + " ms after the next process's yes: " + broken);
        return load.served == 0 ? Case.COULD_NOT_RUN : broken.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private void serve(Server.Want want) throws Exception {
        long nowMs = record.ms();
        if (nowMs > takenMs && want.server.id.equals("s-2")) {
            foreign.incrementAndGet();
            if (nowMs - yesMs > BINDS_MS) {
                broken.incrementAndGet();
            }
            record.line("s-9 of the location west gets request " + want.id + ", " + (nowMs - takenMs)
                    + " ms after it was listed and " + (nowMs - yesMs) + " ms after the yes");
        }
        want.answer("DONE", "res=HIT,etag=" + want.field("obj") + ",made=" + System.currentTimeMillis(),
                want.field("obj").getBytes());
    }

    private int openSocket(String configuration) throws IOException {
        Path config = Director.folder().resolve("n1.json");
        Files.writeString(config, configuration);
        ProcessBuilder builder = new ProcessBuilder("perl", "-e", HOLDER, Director.runLine());
        builder.redirectError(ProcessBuilder.Redirect.INHERIT);
        holder = launch(builder, config);
        started = new BufferedReader(new InputStreamReader(holder.getInputStream(), StandardCharsets.US_ASCII));
        int port = Integer.parseInt(started.readLine());
        Files.writeString(config, configuration.replace("$LISTEN", "127.0.0.1:" + port));
        return port;
    }

    private static Process launch(ProcessBuilder builder, Path config) throws IOException {
        Path temporary = Files.createDirectories(Director.folder().resolve("tmp"));
        builder.environment().putAll(Map.of("BALANCER_NAME", "n1", "BALANCER_CONFIG", config.toString(), "TMPDIR",
                temporary.toString(), "BALANCER_PASSED_SOCKET", "0"));
        builder.environment().remove("BALANCER_LISTEN");
        Process process = builder.start();
        Director.track(process);
        return process;
    }

    private long start(int admin, String log) throws IOException {
        OutputStream commands = holder.getOutputStream();
        commands.write(("127.0.0.1:" + admin + " " + Director.folder().resolve(log) + "\n")
                .getBytes(StandardCharsets.US_ASCII));
        commands.flush();
        return Long.parseLong(started.readLine());
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    private static void awaitYes(int admin) {
        for (int i = 0; i < 600; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), admin), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: director\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                if (answer.startsWith("HTTP/1.1 2")) {
                    return;
                }
            } catch (IOException notYet) {
                // not listening yet
            }
            Kit.sleep(50);
        }
        throw new IllegalStateException("a process is not ready");
    }

    /** Clients that ask for a page every 40 ms, ten on each connection. */
    private static final class Load {
        volatile boolean stop;
        volatile int asked;
        volatile int served;

        Load(int port) {
            Kit.daemon("load", () -> {
                while (!stop) {
                    try (Client client = new Client(port)) {
                        for (int i = 0; i < 10 && !client.mustGo() && !stop; i++) {
                            asked++;
                            served += client.askPage() ? 1 : 0;
                            Kit.sleep(40);
                        }
                    } catch (IOException refused) {
                        Kit.sleep(40);
                    }
                }
            });
        }
    }
}
