package standins2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a cache, a parent or the origin: the lines protocol of the page "Directors to caches". What it does
 * with a request is decided by its {@link Behaviour}, which runs on the connection's thread.
 */
public final class Server {

    /** Handles a request that has arrived whole. */
    public interface Behaviour {
        void handle(Want want) throws Exception;
    }

    /** A request of a director. */
    public static final class Want {
        public final Server server;
        public final String id;
        public final Map<String, String> fields;
        public final byte[] body;
        private final Link link;

        Want(Server server, String id, Map<String, String> fields, byte[] body, Link link) {
            this.server = server;
            this.id = id;
            this.fields = fields;
            this.body = body;
            this.link = link;
        }

        public String field(String name) {
            return fields.getOrDefault(name, "");
        }

        /** Returns whether the director has given the request up or closed its connection. */
        public boolean givenUp() {
            return link.closed || link.givenUp.contains(id);
        }

        /** Writes an answer, unless the request was given up. */
        public void answer(String word, String fieldText, byte[] bytes) throws IOException {
            if (!givenUp()) {
                link.write((id + " " + word + " " + fieldText + " " + bytes.length + "\r\n").getBytes(StandardCharsets.UTF_8),
                        bytes);
            }
        }

        /** As {@link #answer}, with field bytes that need not be text. */
        public void answerRaw(String word, byte[] fieldBytes, byte[] bytes) throws IOException {
            if (!givenUp()) {
                ByteArrayOutputStream head = new ByteArrayOutputStream();
                head.writeBytes((id + " " + word + " ").getBytes(StandardCharsets.UTF_8));
                head.writeBytes(fieldBytes);
                head.writeBytes((" " + bytes.length + "\r\n").getBytes(StandardCharsets.UTF_8));
                link.write(head.toByteArray(), bytes);
            }
        }

        /** Resets the connection on which the request came. */
        public void reset() throws IOException {
            link.socket.setSoLinger(true, 0);
            link.socket.close();
        }
    }

    private static final class Link {
        final Socket socket;
        final Set<String> givenUp = ConcurrentHashMap.newKeySet();
        volatile boolean closed;

        Link(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(byte[] head, byte[] bytes) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head);
            all.writeBytes(bytes);
            all.writeBytes("\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(all.toByteArray());
        }
    }

    public final String id;
    public final String address;
    private final ServerSocket listener;
    private final Behaviour behaviour;

    public Server(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        this.address = "127.0.0.1:" + listener.getLocalPort();
        Kit.daemon("accept-" + id, this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Kit.daemon("link-" + id, () -> serve(new Link(socket)));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Link link) {
        try (Socket socket = link.socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (true) {
                String line = line(in);
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "want" -> {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                        line(in);
                        link.givenUp.remove(words[1]);
                        behaviour.handle(new Want(this, words[1], fields(words[2]), body, link));
                    }
                    case "never_mind" -> link.givenUp.add(words[1]);
                    case "there", "busy" -> link.write((words[1] + " FIT - 0\r\n").getBytes(StandardCharsets.UTF_8),
                            new byte[0]);
                    default -> {
                        return;
                    }
                }
            }
        } catch (Exception ended) {
            // the connection has ended, by either side
        } finally {
            link.closed = true;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.UTF_8);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        if (!text.equals("-")) {
            for (String pair : text.split(",")) {
                fields.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
            }
        }
        return fields;
    }
}
