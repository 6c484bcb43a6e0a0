package clovermill.prove;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The fake's end of a director's connection; speaks the members' line protocol or the command channel's HTTP. */
public abstract class LineProtocolPeer implements ConnectionHandler {

    protected final Connection connection;
    private byte[] buffered = {};

    protected LineProtocolPeer(Connection connection) {
        this.connection = connection;
    }

    /** Handles a request to a member. */
    protected abstract void requestReceived(String id, String fields);

    /** Handles a long poll for later events of the command channel. */
    protected abstract void pollReceived(String path);

    /** Handles the cancellation of a request. */
    protected void requestCancelled(String id) {}

    @Override
    public void received(ByteBuffer data) {
        byte[] all = Arrays.copyOf(buffered, buffered.length + data.remaining());
        data.get(all, buffered.length, data.remaining());
        int position = 0;
        for (int end = lineEnd(all, position); end >= 0; end = lineEnd(all, position)) {
            String text = new String(all, position, end - position, StandardCharsets.ISO_8859_1);
            String[] words = text.split(" ");
            if (words[0].equals("want")) {
                int bodyLength = Integer.parseInt(words[3]);
                if (all.length < end + 4 + bodyLength) {
                    break;
                }
                position = end + 4 + bodyLength;
                requestReceived(words[1], words[2]);
            } else {
                position = end + 2;
                switch (words[0]) {
                    case "there", "busy" -> sendText(words[1] + " FIT - 0\r\n\r\n");
                    case "GET" -> pollReceived(words[1]);
                    case "never_mind" -> requestCancelled(words[1]);
                    default -> {}
                }
            }
        }
        buffered = Arrays.copyOfRange(all, position, all.length);
    }

    private static int lineEnd(byte[] bytes, int from) {
        for (int i = from; i + 1 < bytes.length; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                return i;
            }
        }
        return -1;
    }

    /** Returns the value of a field, or null. */
    public static String field(String fields, String name) {
        for (String each : fields.split(",")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return null;
    }

    protected final void sendText(String text) {
        connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Override
    public void ended() {
        connection.close();
    }

    @Override
    public void closed(IOException cause) {}
}
