package standins2;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A client's connection to a director: the binary frames of the page "Clients to directors". */
public final class Client implements AutoCloseable {

    public static final int SERVED = 79;
    public static final int REFUSED = 66;
    public static final int FAILED = 69;
    /** No answer: the connection ended. */
    public static final int ENDED = -1;
    /** No answer within the time that the caller waited. */
    public static final int NOTHING = -2;

    /** The longest frame that the page allows. */
    private static final int MAX_LENGTH = 262_144;

    /** An answer; {@code code} is one of the constants above. */
    public static final class Answer {
        public final int code;
        public final Map<String, String> fields;
        public final byte[] body;

        Answer(int code, Map<String, String> fields, byte[] body) {
            this.code = code;
            this.fields = fields;
            this.body = body;
        }

        public String name() {
            return switch (code) {
                case SERVED -> "served";
                case REFUSED -> "refused" + (fields.containsKey("after") ? " after=" + fields.get("after") : "");
                case FAILED -> "failed";
                case ENDED -> "connection ended";
                default -> "no answer";
            };
        }
    }

    private final Socket socket;
    private final int bytesPerS;
    private final Map<Integer, CompletableFuture<Answer>> waiting = new ConcurrentHashMap<>();
    private volatile boolean told;
    private volatile boolean ended;
    /** Why the connection has ended. */
    private volatile String reason = "";
    private int nextStream = 1;

    public Client(int port) throws IOException {
        this(port, 0);
    }

    /** Connects; reads at most so many bytes a second, 0 for any number. */
    public Client(int port, int bytesPerS) throws IOException {
        this.bytesPerS = bytesPerS;
        socket = new Socket();
        if (bytesPerS > 0) {
            socket.setReceiveBufferSize(1 << 16);
        }
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        socket.setTcpNoDelay(true);
        Kit.daemon("client", this::read);
    }

    /** Returns whether the director has asked for no new request here, or the connection has ended. */
    public boolean mustGo() {
        return told || ended;
    }

    public String reason() {
        return reason;
    }

    private void closeQuietly() {
        try {
            socket.close();
        } catch (IOException closedAlready) {
            // nothing is left to be closed
        }
    }

    public int open() {
        return waiting.size();
    }

    /** Sends a request and returns its answer to come. */
    public CompletableFuture<Answer> send(Map<String, String> fields, byte[] body) {
        ByteBuffer text = ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN);
        text.put((byte) fields.size());
        fields.forEach((name, value) -> {
            text.put((byte) name.length()).put(name.getBytes(StandardCharsets.UTF_8));
            text.putShort((short) value.length()).put(value.getBytes(StandardCharsets.UTF_8));
        });
        text.flip();
        byte[] payload = new byte[text.remaining() + body.length];
        text.get(payload, 0, text.remaining());
        System.arraycopy(body, 0, payload, payload.length - body.length, body.length);
        return frame(0, payload);
    }

    private synchronized CompletableFuture<Answer> frame(int type, byte[] payload) {
        int stream = nextStream++;
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        waiting.put(stream, answer);
        ByteBuffer frame = ByteBuffer.allocate(9 + payload.length).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(5 + payload.length).put((byte) type).putInt(stream).put(payload);
        try {
            if (ended) {
                throw new IOException("ended");
            }
            socket.getOutputStream().write(frame.array());
        } catch (IOException failure) {
            waiting.remove(stream);
            answer.complete(new Answer(ENDED, Map.of(), new byte[0]));
        }
        return answer;
    }

    /** Returns the fields of a request for a part of a new object of the class page. */
    public static Map<String, String> page(String part) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", "page");
        fields.put("id", Kit.hex(16));
        fields.put("wait", "3000");
        fields.put("key", Kit.hex(16));
        fields.put("seg", part);
        fields.put("bucket", "9");
        fields.put("kb", "100");
        return fields;
    }

    /** Asks for a page and returns whether it was served. */
    public boolean askPage() {
        return await(send(page("0"), new byte[0]), 3600).code == SERVED;
    }

    /** Asks whether the director is ready. */
    public boolean ready(long waitMs) {
        return await(frame(6, new byte[] {0}), waitMs).code == SERVED;
    }

    public static Answer await(CompletableFuture<Answer> answer, long waitMs) {
        try {
            return answer.get(waitMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException late) {
            return new Answer(NOTHING, Map.of(), new byte[0]);
        } catch (Exception stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            while (true) {
                int length = Integer.reverseBytes(in.readInt());
                if (length < 5 || length > MAX_LENGTH) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                byte[] bytes = new byte[length];
                readFully(in, bytes);
                ByteBuffer frame = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
                int type = frame.get();
                int stream = frame.getInt();
                if (type == 9) {
                    told = true;
                    continue;
                }
                int code = frame.get();
                Map<String, String> fields = new LinkedHashMap<>();
                for (int i = frame.get() & 0xff; i > 0; i--) {
                    byte[] name = new byte[frame.get() & 0xff];
                    frame.get(name);
                    byte[] value = new byte[frame.getShort() & 0xffff];
                    frame.get(value);
                    fields.put(new String(name, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8));
                }
                byte[] body = new byte[frame.remaining()];
                frame.get(body);
                CompletableFuture<Answer> answer = waiting.remove(stream);
                if (answer != null) {
                    answer.complete(new Answer(code, fields, body));
                }
            }
        } catch (IOException | RuntimeException closed) {
            reason = closed.toString();
            ended = true;
            closeQuietly();
            waiting.values().forEach(each -> each.complete(new Answer(ENDED, Map.of(), new byte[0])));
            waiting.clear();
        }
    }

    /** Reads in steps of a fiftieth of a second, if the pace is bounded. */
    private void readFully(DataInputStream in, byte[] bytes) throws IOException {
        int step = bytesPerS > 0 ? Math.max(1, bytesPerS / 50) : bytes.length;
        for (int at = 0; at < bytes.length; at += step) {
            int count = Math.min(step, bytes.length - at);
            in.readFully(bytes, at, count);
            if (bytesPerS > 0) {
                Kit.sleep(1000L * count / bytesPerS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
