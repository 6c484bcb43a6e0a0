package standins2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the command channel: long polls over HTTP/1.1, as on the page "The command channel". */
public final class Channel {

    private final List<String> events = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Record record;
    private final int port;
    private ServerSocket listener;
    /** How late each answer leaves, in milliseconds. */
    public volatile long delayMs;

    public Channel(Record record) throws IOException {
        this.record = record;
        this.port = listen(0);
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    private int listen(int at) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 128);
        listener = socket;
        Kit.daemon("channel", () -> accept(socket));
        return socket.getLocalPort();
    }

    /** Adds an event, {@code what} being its member beside the cursor; it counts as told from now on. */
    public synchronized int add(String what) {
        events.add("{\"cursor\":" + (events.size() + 1) + "," + what + "}");
        notifyAll();
        return events.size();
    }

    /** Returns all events so far in the form of {@code known}. */
    public synchronized String known() {
        return answer(0);
    }

    private synchronized String answer(int from) {
        return "{\"cursor\":" + events.size() + ",\"cmds\":["
                + String.join(",", events.subList(Math.min(from, events.size()), events.size())) + "]}";
    }

    /** Breaks all open connections off and takes no new ones. */
    public void down() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Takes connections again, at the same address. */
    public void up() throws IOException {
        listen(port);
    }

    private void accept(ServerSocket socket) {
        while (true) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                open.add(accepted);
                Kit.daemon("poll", () -> serve(accepted));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                int resume = number(line, "resume=");
                int blockMs = Math.min(5000, number(line, "block="));
                while (!in.readLine().isEmpty()) {
                    continue;
                }
                await(resume, blockMs);
                String body = answer(resume);
                Kit.sleep(delayMs);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                record.line("channel: a poll after event " + resume + " was answered with " + body.length() + " bytes");
            }
        } catch (IOException | RuntimeException ended) {
            // the director has closed the connection, or this side has
        } finally {
            open.remove(socket);
        }
    }

    private synchronized void await(int resume, int blockMs) {
        long untilNs = System.nanoTime() + blockMs * 1_000_000L;
        while (events.size() <= resume && System.nanoTime() < untilNs) {
            try {
                wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private static int number(String line, String name) {
        String rest = line.substring(line.indexOf(name) + name.length());
        return Integer.parseInt(rest.split("[^0-9]", 2)[0]);
    }
}
