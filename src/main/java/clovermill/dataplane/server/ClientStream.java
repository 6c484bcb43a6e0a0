package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ResponseHandler;
import clovermill.dataplane.proxy.UpstreamResponse;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;

/** A request that is open on a connection; it is answered once. */
final class ClientStream implements ResponseHandler {

    final long number;
    final String id;
    final int bodyBytes;
    private final FrameConnection connection;

    ClientStream(FrameConnection connection, long number, String id, int bodyBytes) {
        this.connection = connection;
        this.number = number;
        this.id = id;
        this.bodyBytes = bodyBytes;
    }

    @Override
    public void served(UpstreamResponse answer) {
        connection.end(this);
        Map<String, String> fields = new TreeMap<>();
        if (answer.notModified()) {
            fields.put("notmod", "1");
        }
        if (answer.tag() != null) {
            fields.put("etag", answer.tag());
        }
        byte[] body = answer.notModified() ? new byte[0] : answer.body().bytes();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        connection.answer(Frames.answer(Frames.ANSWER, number, Frames.SERVED, fields, body.length), bytes, whole -> {
            answer.body().close();
            if (answer.writeListener() != null) {
                answer.writeListener().written(bytes.position(), whole);
            }
        });
    }

    @Override
    public void refused(long afterMs) {
        connection.end(this);
        connection.refuse(number, afterMs);
    }

    @Override
    public void failed() {
        connection.end(this);
        connection.fail(number);
    }
}
