import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The server's side of the protocol of caches: {@code want}, {@code never_mind}, {@code there} and {@code busy}. */
abstract class Lines implements Loop.Handler {

    /** A request as it arrived whole. */
    record Want(String id, Map<String, String> fields, byte[] body, long atNs) {
        String field(String name) {
            return fields.get(name);
        }
    }

    final Loop.Conn conn;
    private byte[] held = new byte[0];

    Lines(Loop.Conn conn) {
        this.conn = conn;
    }

    @Override
    public void received(ByteBuffer data) {
        byte[] all = new byte[held.length + data.remaining()];
        System.arraycopy(held, 0, all, 0, held.length);
        data.get(all, held.length, data.remaining());
        int from = 0;
        while (true) {
            int end = from;
            while (end < all.length && all[end] != '\n') {
                end++;
            }
            if (end == all.length) {
                break;
            }
            String[] words = new String(all, from, end - from - 1, StandardCharsets.UTF_8).split(" ");
            int next = end + 1;
            if (words[0].equals("want")) {
                int length = Integer.parseInt(words[3]);
                if (all.length < next + length + 2) {
                    break;
                }
                byte[] body = new byte[length];
                System.arraycopy(all, next, body, 0, length);
                next += length + 2;
                want(new Want(words[1], fields(words[2]), body, System.nanoTime()));
            } else if (words[0].equals("never_mind")) {
                neverMind(words[1]);
            } else {
                conn.send(text(words[1] + " FIT - 0\r\n\r\n"));
            }
            from = next;
        }
        held = java.util.Arrays.copyOfRange(all, from, all.length);
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

    /** Answers a request. */
    final void answer(String id, String word, String fields, byte[] body) {
        if (conn.open) {
            conn.send(text(id + " " + word + " " + fields + " " + body.length + "\r\n"), body, text("\r\n"));
        }
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    abstract void want(Want want);

    abstract void neverMind(String id);
}
