package clovermill.front;

import clovermill.host.Ask;
import clovermill.host.Usage;
import clovermill.net.ProtocolException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that are open on one connection; it takes them in, and gives their bytes back at their end. */
final class ClientStreams {

    private static final int MOST_OPEN = 32;
    /** Where another director is to take the request, it may do so at once. */
    private static final long AT_ONCE_MS = 1;

    private final FrameConnection connection;
    private final FrontParts shared;
    private final StreamNumbers used = new StreamNumbers();
    private final Map<Long, ClientStream> open = new HashMap<>();

    ClientStreams(FrameConnection connection, FrontParts shared) {
        this.connection = connection;
        this.shared = shared;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** By when a request is to be answered that arrived at that moment, in microseconds of the clock. */
    long answerByMicros(ByteBuffer payload, long arrivedMicros) throws ProtocolException {
        long withinUs = shared.reader().answerWithinUs(Frames.fields(payload.duplicate().order(payload.order())));
        return withinUs == Long.MAX_VALUE ? Long.MAX_VALUE : arrivedMicros + withinUs;
    }

    /** Answers a request that is not to be taken any more. */
    void turnAway(long stream, ByteBuffer payload) throws ProtocolException {
        if (free(stream)) {
            connection.refuse(stream, shared.awayMs().getAsLong());
            if (payload != null) {
                notTaken(Frames.fields(payload));
            }
        }
    }

    /** Whether a request may come on that stream; it is marked as used, or an error is told. */
    private boolean free(long stream) throws ProtocolException {
        if (stream == 0 || open.containsKey(stream)) {
            connection.fail(0);
            return false;
        }
        if (!used.use(stream)) {
            connection.fail(stream);
            return false;
        }
        return true;
    }

    /** Takes a request that arrived at that moment of the clock, or answers it at once. */
    void take(long stream, ByteBuffer payload, long arrivedMicros) throws ProtocolException {
        Map<String, String> fields = Frames.fields(payload);
        if (!free(stream)) {
            return;
        }
        int bodyBytes = payload.remaining();
        boolean turnedAway = shared.turningAway().getAsBoolean();
        if (turnedAway || open.size() >= MOST_OPEN || !shared.budget().take(bodyBytes)) {
            long awayMs = shared.awayMs().getAsLong();
            connection.refuse(stream, turnedAway ? Math.min(AT_ONCE_MS, awayMs) : awayMs);
            notTaken(fields);
            return;
        }
        byte[] body = new byte[bodyBytes];
        payload.get(body);
        try {
            Ask ask = shared.reader().read(fields, body).later(shared.clock().micros() - arrivedMicros);
            if (ask.waitUs() <= 0) {
                shared.budget().give(bodyBytes);
                connection.refuse(stream, shared.awayMs().getAsLong());
                shared.host().notTaken(ask, Usage.End.REFUSED);
                return;
            }
            ClientStream opened = new ClientStream(connection, stream, ask.id(), bodyBytes);
            open.put(stream, opened);
            connection.taken();
            shared.host().submit(ask, opened);
        } catch (RequestReader.BadRequest bad) {
            shared.budget().give(bodyBytes);
            connection.fail(stream);
        }
    }

    /** Lets whoever keeps count know of a request for which there was no place here. */
    private void notTaken(Map<String, String> fields) {
        if (shared.host().audited()) {
            try {
                shared.host().notTaken(shared.reader().read(fields, new byte[0]), Usage.End.REFUSED);
            } catch (RequestReader.BadRequest bad) {
                // what cannot be read belongs to nobody
            }
        }
    }

    /** Nobody waits for that one any more; whether it was open. */
    boolean giveUp(long stream) {
        ClientStream given = open.get(stream);
        if (given == null) {
            return false;
        }
        end(given);
        shared.host().clientGone(given.id);
        return true;
    }

    /** A number that was used up without its request being taken. */
    void spend(long stream) throws ProtocolException {
        used.use(stream);
    }

    /** The one place where a stream ends and its request's bytes are given back. */
    void end(ClientStream stream) {
        if (open.remove(stream.number, stream)) {
            shared.budget().give(stream.bodyBytes);
        }
    }

    /**
     * From now on nothing new begins for what is open: the client may have gone, which would not be seen. What is out
     * may still be answered.
     */
    void bar() {
        List.copyOf(open.values()).forEach(stream -> shared.host().clientLeft(stream.id));
    }

    /** The client has gone. */
    void close() {
        List.copyOf(open.keySet()).forEach(this::giveUp);
    }
}
