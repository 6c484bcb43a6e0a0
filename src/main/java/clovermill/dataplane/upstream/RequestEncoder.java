package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/** An encoder of requests in the lines protocol. */
final class RequestEncoder {

    private static final long US_PER_MS = 1000;

    private RequestEncoder() {}

    /** Encodes an attempt in parts; {@code remainingUs} is the time until its client's deadline. */
    static List<ByteBuffer> attempt(AttemptOrder order, long remainingUs) {
        ClientRequest request = order.request();
        String head = "want " + request.id() + " " + fields(order, remainingUs) + " " + request.body().length + "\r\n";
        return request.body().length == 0
                ? List.of(bytes(head + "\r\n"))
                : List.of(bytes(head), ByteBuffer.wrap(request.body()), bytes("\r\n"));
    }

    /** Encodes a probe. */
    static List<ByteBuffer> probe(String tag) {
        return List.of(bytes("there " + tag + "\r\n"));
    }

    /** Encodes the cancellation of a request. */
    static ByteBuffer cancellation(String id) {
        return bytes("never_mind " + id + "\r\n");
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String fields(AttemptOrder order, long remainingUs) {
        ClientRequest request = order.request();
        StringJoiner fields = new StringJoiner(",");
        fields.add("kind=" + request.className()).add("obj=" + request.object()).add("seg=" + request.part());
        fields.add("ms=" + Math.max(1, remainingUs / US_PER_MS));
        if (request.idempotencyKey() != null) {
            fields.add("token=" + request.idempotencyKey());
        }
        if (order.source() != null) {
            fields.add("src=" + order.source());
        }
        if (order.rank() > 0) {
            fields.add("keep=" + order.rank());
        }
        if (order.maxAgeUs() > 0) {
            fields.add("maxage=" + Math.max(1, order.maxAgeUs() / US_PER_MS));
        }
        StringJoiner flags = new StringJoiner("+");
        if (order.joinFill()) {
            flags.add("join");
        }
        if (order.onlyIfCached()) {
            flags.add("held");
        }
        if (order.parentNoStore()) {
            flags.add("nocopy");
        }
        if (order.staleWhileRevalidate()) {
            flags.add("renew");
        }
        if (flags.length() > 0) {
            fields.add("flags=" + flags);
        }
        if (request.cachedTag() != null) {
            fields.add("have=" + request.cachedTag());
        }
        return fields.toString();
    }
}
