package clovermill.cache;

import clovermill.host.Ask;
import clovermill.host.Upstream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/** A request in the lines protocol. */
final class RequestLine {

    private RequestLine() {}

    /** The parts of an attempt's request, whose client has {@code leftUs} microseconds left as it is written. */
    static List<ByteBuffer> want(Upstream.Order order, long leftUs) {
        Ask ask = order.ask();
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

    private static String fields(Upstream.Order order, long leftUs) {
        Ask ask = order.ask();
        StringJoiner fields = new StringJoiner(",");
        fields.add("kind=" + ask.className()).add("obj=" + ask.object()).add("seg=" + ask.part());
        fields.add("ms=" + Math.max(1, leftUs / 1000));
        if (ask.token() != null) {
            fields.add("token=" + ask.token());
        }
        if (order.source() != null) {
            fields.add("src=" + order.source());
        }
        if (order.rank() > 0) {
            fields.add("keep=" + order.rank());
        }
        if (order.maxAgeUs() > 0) {
            fields.add("maxage=" + Math.max(1, order.maxAgeUs() / 1000));
        }
        StringJoiner flags = new StringJoiner("+");
        if (order.join()) {
            flags.add("join");
        }
        if (order.heldOnly()) {
            flags.add("held");
        }
        if (order.parentKeepsNone()) {
            flags.add("nocopy");
        }
        if (order.renew()) {
            flags.add("renew");
        }
        if (flags.length() > 0) {
            fields.add("flags=" + flags);
        }
        if (ask.have() != null) {
            fields.add("have=" + ask.have());
        }
        return fields.toString();
    }
}
