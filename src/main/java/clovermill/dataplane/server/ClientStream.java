package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ResponseHandler;
import clovermill.dataplane.proxy.UpstreamResponse;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;

/** A request that is open on a connection; it writes the one answer. */
final class ClientStream implements ResponseHandler {

    final long number;
    final String requestId;
    /** Bytes taken from the budget for the request's body. */
    final int bodyBytes;
    private final FrameConnection connection;

    ClientStream(FrameConnection connection, long number, String requestId, int bodyBytes) {
        this.connection = connection;
        this.number = number;
        this.requestId = requestId;
        this.bodyBytes = bodyBytes;
    }

    @Override
    public void served(UpstreamResponse response) {
        connection.end(this);
        Map<String, String> fields = new TreeMap<>();
        if (response.notModified()) {
            fields.put("notmod", "1");
        }
        if (response.tag() != null) {
            fields.put("etag", response.tag());
        }
        byte[] body = response.notModified() ? new byte[0] : response.body().bytes();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        ByteBuffer head = Frames.responseHead(Frames.RESPONSE, number, Frames.SERVED, fields, body.length);
        connection.respond(head, bytes, complete -> {
            response.body().close();
            if (response.writeListener() != null) {
                response.writeListener().written(bytes.position(), complete);
            }
        });
    }

    @Override
    public void refused(long retryAfterMs) {
        connection.end(this);
        connection.refuse(number, retryAfterMs);
    }

    @Override
    public void failed() {
        connection.end(this);
        connection.fail(number);
    }
}
