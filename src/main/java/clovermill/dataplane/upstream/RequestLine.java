package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/** A request in the lines protocol. */
final class RequestLine {

    private RequestLine() {}

    /** The parts of an attempt's request, whose client has {@code leftUs} microseconds left as it is written. */
    static List<ByteBuffer> want(AttemptOrder order, long leftUs) {
        ClientRequest ask = order.request();
        String head = "want " + ask.id() + " " + fields(order, leftUs) + " " + ask.body().length + "\r\n";
        return ask.body().length == 0
                ? List.of(text(head + "\r\n"))
                : List.of(text(head), ByteBuffer.wrap(ask.body()), text("\r\n"));
    }

    /** A probe. */
    static List<ByteBuffer> there(String tag) {
        return List.of(text("there " + tag + "\r\n"));
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String fields(AttemptOrder order, long leftUs) {
        ClientRequest ask = order.request();
        StringJoiner fields = new StringJoiner(",");
        fields.add("kind=" + ask.className()).add("obj=" + ask.object()).add("seg=" + ask.part());
        fields.add("ms=" + Math.max(1, leftUs / 1000));
        if (ask.idempotencyKey() != null) {
            fields.add("token=" + ask.idempotencyKey());
        }
        if (order.source() != null) {
            fields.add("src=" + order.source());
        }
        if (order.rank() > 0) {
            fields.add("keep=" + order.rank());
        }
        if (order.maxAgeMicros() > 0) {
            fields.add("maxage=" + Math.max(1, order.maxAgeMicros() / 1000));
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
        if (ask.cachedTag() != null) {
            fields.add("have=" + ask.cachedTag());
        }
        return fields.toString();
    }
}
