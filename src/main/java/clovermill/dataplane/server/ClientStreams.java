package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open requests of one connection. Accepts or rejects requests, and releases their memory when they complete. */
final class ClientStreams {

    private static final int MAX_OPEN = 32;
    /** Retry delay during a shutdown, when another director can serve the request immediately. */
    private static final long RETRY_ELSEWHERE_MS = 1;

    private final FrameConnection connection;
    private final ServerContext context;
    private final StreamNumbers usedNumbers = new StreamNumbers();
    private final Map<Long, ClientStream> openStreams = new HashMap<>();

    ClientStreams(FrameConnection connection, ServerContext context) {
        this.connection = connection;
        this.context = context;
    }

    boolean isEmpty() {
        return openStreams.isEmpty();
    }

    /**
     * Returns when a request must have been answered.
     *
     * @param arrivedUs when the request arrived, in microseconds of the clock
     * @return the deadline on the same clock, or {@link Long#MAX_VALUE} if the request is invalid
     */
    long answerByUs(ByteBuffer payload, long arrivedUs) throws ProtocolException {
        Map<String, String> fields = RequestFields.read(payload.duplicate().order(payload.order()));
        long withinUs = context.reader().answerWithinUs(fields);
        return withinUs == Long.MAX_VALUE ? Long.MAX_VALUE : arrivedUs + withinUs;
    }

    /** Rejects a request before it is accepted; {@code payload} is null if it was skipped. */
    void reject(long stream, ByteBuffer payload) throws ProtocolException {
        if (claimNumber(stream)) {
            connection.reject(stream, context.retryAfterMs().getAsLong());
            if (payload != null) {
                recordRejected(RequestFields.read(payload));
            }
        }
    }

    /** Marks the number of a new stream as used; answers a number that must not be used with an error. */
    private boolean claimNumber(long stream) throws ProtocolException {
        if (stream == 0 || openStreams.containsKey(stream)) {
            connection.fail(0);
            return false;
        }
        if (!usedNumbers.markUsed(stream)) {
            connection.fail(stream);
            return false;
        }
        return true;
    }

    /** Accepts a request that arrived at {@code arrivedUs} on the clock, or answers it immediately. */
    void accept(long stream, ByteBuffer payload, long arrivedUs) throws ProtocolException {
        Map<String, String> fields = RequestFields.read(payload);
        if (!claimNumber(stream)) {
            return;
        }
        int bodyBytes = payload.remaining();
        boolean rejectingNew = context.rejectingNew().getAsBoolean();
        if (rejectingNew || openStreams.size() >= MAX_OPEN || !context.budget().tryReserve(bodyBytes)) {
            long retryAfterMs = context.retryAfterMs().getAsLong();
            connection.reject(stream,
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
            connection.reject(stream, context.retryAfterMs().getAsLong());
            context.proxy().recordRejected(request, UsageRecord.End.REFUSED);
            return;
        }
        ClientStream opened = new ClientStream(connection, stream, request.id(), bodyBytes);
        openStreams.put(stream, opened);
        connection.requestAccepted();
        context.proxy().submit(request, opened);
    }

    /** Records the usage of a request that was rejected here; an invalid one cannot be attributed to a tenant. */
    private void recordRejected(Map<String, String> fields) {
        if (context.proxy().recordsUsage()) {
            try {
                context.proxy().recordRejected(context.reader().read(fields, new byte[0]), UsageRecord.End.REFUSED);
            } catch (BadRequestException invalid) {
                return;
            }
        }
    }

    /** Cancels a request that the client no longer waits for; returns false if it is not open. */
    boolean cancel(long stream) {
        ClientStream cancelled = openStreams.get(stream);
        if (cancelled == null) {
            return false;
        }
        close(cancelled);
        context.proxy().cancelRequest(cancelled.requestId);
        return true;
    }

    /** Marks the stream number of a request that was cancelled before it was accepted as used. */
    void markUsed(long stream) throws ProtocolException {
        usedNumbers.markUsed(stream);
    }

    /** Closes a stream and returns its request's memory to the budget. Every stream is closed here. */
    void close(ClientStream stream) {
        if (openStreams.remove(stream.number, stream)) {
            context.budget().release(stream.bodyBytes);
        }
    }

    /**
     * Prevents new attempts for the open requests, since the client may have disconnected undetected. Attempts in
     * flight may still be answered.
     */
    void stopNewAttempts() {
        List.copyOf(openStreams.values()).forEach(stream -> context.proxy().clientHalfClosed(stream.requestId));
    }

    /** Cancels all open requests: the client has disconnected. */
    void cancelAll() {
        List.copyOf(openStreams.keySet()).forEach(this::cancel);
    }
}
