package clovermill.prove;

import clovermill.runtime.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One connection of a director, seen from a stand-in that speaks the members' lines or the command channel's HTTP. */
public abstract class LinePeer implements Connection.Handler {

    protected final Connection connection;
    private byte[] kept = {};

    protected LinePeer(Connection connection) {
        this.connection = connection;
    }

    /** A request to a member. */
    protected abstract void want(String id, String fields);

    /** A request for later events of the command channel. */
    protected abstract void poll(String path);

    /** A request that is given up. */
    protected void neverMind(String id) {}

    @Override
    public void received(ByteBuffer data) {
        byte[] all = Arrays.copyOf(kept, kept.length + data.remaining());
        data.get(all, kept.length, data.remaining());
        int at = 0;
        for (int end = line(all, at); end >= 0; end = line(all, at)) {
            String text = new String(all, at, end - at, StandardCharsets.ISO_8859_1);
            String[] words = text.split(" ");
            if (words[0].equals("want")) {
                int body = Integer.parseInt(words[3]);
                if (all.length < end + 4 + body) {
                    break;
                }
                at = end + 4 + body;
                want(words[1], words[2]);
            } else {
                at = end + 2;
                switch (words[0]) {
                    case "there", "busy" -> say(words[1] + " FIT - 0\r\n\r\n");
                    case "GET" -> poll(words[1]);
                    case "never_mind" -> neverMind(words[1]);
                    default -> {}
                }
            }
        }
        kept = Arrays.copyOfRange(all, at, all.length);
    }

    private static int line(byte[] bytes, int from) {
        for (int i = from; i + 1 < bytes.length; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                return i;
            }
        }
        return -1;
    }

    /** The value of a field, or null. */
    public static String field(String fields, String name) {
        for (String each : fields.split(",")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return null;
    }

    protected final void say(String text) {
        connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Override
    public void ended() {
        connection.close();
    }

    @Override
    public void closed(IOException cause) {}
}
