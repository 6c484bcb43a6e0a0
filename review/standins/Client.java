import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** A client of the frame protocol with one connection at a time; it opens a new one where the old one has ended. */
final class Client {

    /** A request and what became of it; {@code code} is 79, 66 or 69, 0 while it is open, -1 where it was lost. */
    static final class Ask {
        final String id;
        final Map<String, String> fields;
        final long sentNs;
        int code;
        long endedNs;
        byte[] answer;
        Map<String, String> answerFields = Map.of();

        private Ask(String id, Map<String, String> fields) {
            this.id = id;
            this.fields = fields;
            this.sentNs = System.nanoTime();
        }
    }

    private final Loop loop;
    private final int port;
    private final Random random;
    private final Record record;
    private Link link;
    /** Answers to streams without an open request. */
    int second;

    Client(Loop loop, Record record, int port, long seed) {
        this.loop = loop;
        this.record = record;
        this.port = port;
        this.random = new Random(seed);
    }

    private String hex() {
        return String.format("%016x", random.nextLong());
    }

    /** Sends a request; {@code done} gets it when it has ended. On the loop's thread. */
    Ask ask(String requestClass, String key, int seg, int bucket, double kb, int waitMs, boolean keyed, byte[] body,
            Consumer<Ask> done) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", requestClass);
        fields.put("id", hex());
        fields.put("wait", "" + waitMs);
        if (keyed) {
            fields.put("once", hex() + hex());
        }
        fields.put("key", key);
        fields.put("seg", "" + seg);
        fields.put("bucket", "" + bucket);
        if (kb > 0) {
            fields.put("kb", "" + kb);
        }
        Ask ask = new Ask(fields.get("id"), fields);
        record.line("client sends " + ask.id + " " + requestClass + " " + key + "/" + seg);
        if (link == null || !link.usable()) {
            link = new Link();
            try {
                link.conn = loop.connect(port, conn -> link);
            } catch (IOException refused) {
                ask.code = -2;
                done.accept(ask);
                return ask;
            }
        }
        link.send(ask, body, done);
        return ask;
    }

    private final class Link implements Loop.Handler {
        private Loop.Conn conn;
        private boolean connected;
        private boolean leaving;
        private int stream;
        private final Map<Integer, Ask> open = new HashMap<>();
        private final Map<Integer, Consumer<Ask>> dones = new HashMap<>();
        private byte[] held = new byte[0];

        boolean usable() {
            return !leaving && (conn == null || conn.open) && open.size() < 32;
        }

        void send(Ask ask, byte[] body, Consumer<Ask> done) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(ask.fields.size());
            ask.fields.forEach((name, value) -> {
                out.write(name.length());
                out.writeBytes(name.getBytes(StandardCharsets.US_ASCII));
                out.write(value.length() & 255);
                out.write(value.length() >> 8);
                out.writeBytes(value.getBytes(StandardCharsets.US_ASCII));
            });
            out.writeBytes(body);
            byte[] payload = out.toByteArray();
            open.put(++stream, ask);
            dones.put(stream, done);
            conn.send(ByteBuffer.allocate(9 + payload.length).order(ByteOrder.LITTLE_ENDIAN).putInt(5 + payload.length)
                    .put((byte) 0).putInt(stream).put(payload).array());
        }

        @Override
        public void connected() {
            connected = true;
        }

        @Override
        public void received(ByteBuffer data) {
            byte[] all = new byte[held.length + data.remaining()];
            System.arraycopy(held, 0, all, 0, held.length);
            data.get(all, held.length, data.remaining());
            ByteBuffer in = ByteBuffer.wrap(all).order(ByteOrder.LITTLE_ENDIAN);
            while (in.remaining() >= 4 && in.remaining() >= 4 + in.getInt(in.position())) {
                int length = in.getInt();
                frame(in.slice(in.position(), length).order(ByteOrder.LITTLE_ENDIAN));
                in.position(in.position() + length);
            }
            held = java.util.Arrays.copyOfRange(all, in.position(), all.length);
        }

        private void frame(ByteBuffer frame) {
            int type = frame.get();
            int number = frame.getInt();
            if (type == 9) {
                leaving = true;
            } else if (type == 1 && number != 0) {
                Ask ask = open.remove(number);
                if (ask == null) {
                    second++;
                    return;
                }
                int code = frame.get();
                Map<String, String> fields = new HashMap<>();
                for (int i = frame.get() & 255; i > 0; i--) {
                    byte[] name = new byte[frame.get() & 255];
                    frame.get(name);
                    byte[] value = new byte[frame.getShort() & 0xffff];
                    frame.get(value);
                    fields.put(new String(name, StandardCharsets.US_ASCII), new String(value, StandardCharsets.US_ASCII));
                }
                ask.answerFields = fields;
                ask.answer = new byte[frame.remaining()];
                frame.get(ask.answer);
                end(number, ask, code);
            }
            if (leaving && open.isEmpty()) {
                conn.close();
            }
        }

        private void end(int number, Ask ask, int code) {
            ask.code = code;
            ask.endedNs = System.nanoTime();
            record.line("client has " + ask.id + " "
                    + switch (code) {
                        case 79 -> "served, " + ask.answer.length + " bytes";
                        case 66 -> "refused";
                        case 69 -> "failed";
                        case -1 -> "LOST: its connection ended";
                        default -> "not taken: no connection";
                    } + " after " + (ask.endedNs - ask.sentNs) / 1_000_000 + " ms");
            dones.remove(number).accept(ask);
        }

        @Override
        public void ended() {
            leaving = true;
            // A connection that never came up has taken nothing.
            int code = connected ? -1 : -2;
            for (int number : java.util.List.copyOf(open.keySet())) {
                end(number, open.remove(number), code);
            }
        }
    }
}
