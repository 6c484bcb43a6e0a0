package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open requests of one connection: accepts or rejects them, and returns their memory when they end. */
final class ClientStreams {

    private static final int MAX_OPEN = 32;
    /** Retry delay during a shutdown: another director serves the request at once. */
    private static final long RETRY_ELSEWHERE_MS = 1;

    private final FrameConnection connection;
    private final ServerContext context;
    private final StreamNumbers used = new StreamNumbers();
    private final Map<Long, ClientStream> open = new HashMap<>();

    ClientStreams(FrameConnection connection, ServerContext context) {
        this.connection = connection;
        this.context = context;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** When a request that arrived then must have been answered, both in microseconds of the clock. */
    long answerByUs(ByteBuffer payload, long arrivedUs) throws ProtocolException {
        Map<String, String> fields = Frames.fields(payload.duplicate().order(payload.order()));
        long withinUs = context.reader().answerWithinUs(fields);
        return withinUs == Long.MAX_VALUE ? Long.MAX_VALUE : arrivedUs + withinUs;
    }

    /** Rejects a request that was not accepted; {@code payload} is null if it was not read. */
    void reject(long stream, ByteBuffer payload) throws ProtocolException {
        if (claimNumber(stream)) {
            connection.refuse(stream, context.retryAfterMs().getAsLong());
            if (payload != null) {
                recordRejected(Frames.fields(payload));
            }
        }
    }

    /** Marks the number of a new stream as used; a number that may not be used is answered with an error. */
    private boolean claimNumber(long stream) throws ProtocolException {
        if (stream == 0 || open.containsKey(stream)) {
            connection.fail(0);
            return false;
        }
        if (!used.markUsed(stream)) {
            connection.fail(stream);
            return false;
        }
        return true;
    }

    /** Accepts a request that arrived at that time of the clock, or answers it at once. */
    void accept(long stream, ByteBuffer payload, long arrivedUs) throws ProtocolException {
        Map<String, String> fields = Frames.fields(payload);
        if (!claimNumber(stream)) {
            return;
        }
        int bodyBytes = payload.remaining();
        boolean rejectingNew = context.rejectingNew().getAsBoolean();
        if (rejectingNew || open.size() >= MAX_OPEN || !context.budget().tryReserve(bodyBytes)) {
            long retryAfterMs = context.retryAfterMs().getAsLong();
            connection.refuse(stream,
                    rejectingNew ? Math.min(RETRY_ELSEWHERE_MS, retryAfterMs) : retryAfterMs);
            recordRejected(fields);
            return;
        }
        byte[] body = new byte[bodyBytes];
        payload.get(body);
        try {
            submit(stream, context.reader().read(fields, body)
                    .afterDelay(context.clock().micros() - arrivedUs));
        } catch (BadRequestException invalid) {
            context.budget().release(bodyBytes);
            connection.fail(stream);
        }
    }

    private void submit(long stream, ClientRequest request) {
        int bodyBytes = request.body().length;
        if (request.remainingUs() <= 0) {
            context.budget().release(bodyBytes);
            connection.refuse(stream, context.retryAfterMs().getAsLong());
            context.proxy().recordRejected(request, UsageRecord.End.REFUSED);
            return;
        }
        ClientStream opened = new ClientStream(connection, stream, request.id(), bodyBytes);
        open.put(stream, opened);
        connection.requestAccepted();
        context.proxy().submit(request, opened);
    }

    /** Records the usage of a request that was rejected here; an invalid one cannot be assigned to anybody. */
    private void recordRejected(Map<String, String> fields) {
        if (context.proxy().recordsUsage()) {
            try {
                context.proxy().recordRejected(context.reader().read(fields, new byte[0]), UsageRecord.End.REFUSED);
            } catch (BadRequestException invalid) {
                return;
            }
        }
    }

    /** The client no longer waits for a request; false if it is not open. */
    boolean cancel(long stream) {
        ClientStream cancelled = open.get(stream);
        if (cancelled == null) {
            return false;
        }
        end(cancelled);
        context.proxy().clientGone(cancelled.requestId);
        return true;
    }

    /** Marks the number of a request that was cancelled before it was accepted. */
    void markUsed(long stream) throws ProtocolException {
        used.markUsed(stream);
    }

    /** The one place where a stream ends and the memory of its request is returned. */
    void end(ClientStream stream) {
        if (open.remove(stream.number, stream)) {
            context.budget().release(stream.bodyBytes);
        }
    }

    /**
     * No further attempt begins for the open requests, since the client may have gone unnoticed. Attempts in flight may
     * still be answered.
     */
    void stopNewAttempts() {
        List.copyOf(open.values()).forEach(stream -> context.proxy().clientHalfClosed(stream.requestId));
    }

    /** The client has gone. */
    void cancelAll() {
        List.copyOf(open.keySet()).forEach(this::cancel);
    }
}
