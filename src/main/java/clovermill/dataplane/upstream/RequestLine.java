package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/** Encodes requests of the lines protocol. */
final class RequestLine {

    private static final long MICROS_PER_MILLI = 1000;

    private RequestLine() {}

    /** Encodes an attempt in parts; {@code leftUs} is the time that its client has left. */
    static List<ByteBuffer> want(AttemptOrder order, long leftUs) {
        ClientRequest request = order.request();
        String head = "want " + request.id() + " " + fields(order, leftUs) + " " + request.body().length + "\r\n";
        return request.body().length == 0
                ? List.of(text(head + "\r\n"))
                : List.of(text(head), ByteBuffer.wrap(request.body()), text("\r\n"));
    }

    /** Encodes a probe. */
    static List<ByteBuffer> there(String tag) {
        return List.of(text("there " + tag + "\r\n"));
    }

    /** Encodes the cancellation of a request. */
    static ByteBuffer neverMind(String id) {
        return text("never_mind " + id + "\r\n");
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String fields(AttemptOrder order, long leftUs) {
        ClientRequest request = order.request();
        StringJoiner fields = new StringJoiner(",");
        fields.add("kind=" + request.className()).add("obj=" + request.object()).add("seg=" + request.part());
        fields.add("ms=" + Math.max(1, leftUs / MICROS_PER_MILLI));
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
            fields.add("maxage=" + Math.max(1, order.maxAgeUs() / MICROS_PER_MILLI));
        }
        StringJoiner flags = new StringJoiner("+");
        if (order.join()) {
            flags.add("join");
        }
        if (order.cachedOnly()) {
            flags.add("held");
        }
        if (order.parentMustNotCache()) {
            flags.add("nocopy");
        }
        if (order.renew()) {
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
