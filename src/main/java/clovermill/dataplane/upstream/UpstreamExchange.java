package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines.Deadline;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** An exchange on a connection: queued, then written, then ended or cancelled. */
final class UpstreamExchange implements Exchange {

    /**
     * Age at which an unwritten head is no longer sent. The deadline in the head may be at most 150 ms old when it is
     * written, which happens within the same turn.
     */
    private static final long MAX_HEAD_AGE_US = 140_000;

    final String id;
    final AttemptListener listener;
    private final UpstreamConnection connection;
    private final CacheRequest request;
    private boolean begun;
    private long begunUs;
    /** The first part of the request, which contains the deadline; null before it begins. */
    private ByteBuffer head;
    private boolean written;
    private boolean revoked;
    /** Ends the exchange unless it begins in time. */
    Deadline beginTimeout;

    UpstreamExchange(UpstreamConnection connection, CacheRequest request) {
        this.connection = connection;
        this.request = request;
        this.id = request.id();
        this.listener = request.listener();
    }

    @Override
    public boolean isQueuedLocally() {
        return !begun && connection.waitsOnlyForFlush();
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public boolean cancel() {
        connection.cancel(this);
        return begun;
    }

    /** Returns whether a miss would be filled from one of {@code members}. */
    boolean isFilledFrom(Set<String> members) {
        return request.isFilledFrom(members);
    }

    /** Returns whether this is an attempt of a matching client request. */
    boolean matches(Predicate<ClientRequest> condition) {
        return request.matches(condition);
    }

    /** Returns whether it may begin now: its client waits for it and its deadline has not passed. */
    boolean mayBegin(long nowUs) {
        return nowUs < request.deadlineUs() && listener.mayBegin();
    }

    /** Begins the exchange and returns the parts to be written, which contain the time left at {@code nowUs}. */
    List<ByteBuffer> begin(long nowUs) {
        begun = true;
        begunUs = nowUs;
        List<ByteBuffer> parts = request.encoder().apply(request.deadlineUs() - nowUs);
        head = parts.get(0);
        return parts;
    }

    /** Returns the first of the parts returned by the last {@link #begin}. */
    ByteBuffer head() {
        return head;
    }

    /** Resets the exchange to queued: its parts were retracted before any byte was written. */
    void retracted() {
        begun = false;
        head = null;
    }

    /** Records the end of the write; {@code complete} if all parts were written. */
    void writeEnded(boolean complete) {
        written = complete;
    }

    /** Returns whether all parts were written. */
    boolean isWritten() {
        return written;
    }

    /**
     * Returns whether unwritten parts must no longer be written: the exchange may not continue, or the deadline in its
     * head is too old.
     */
    boolean mustStop(long nowUs) {
        return begun && !written && (revoked || !listener.mayContinue()
                || head.hasRemaining() && nowUs - begunUs > MAX_HEAD_AGE_US);
    }

    /** Forbids further writes: the member or the source drains, or the object was purged. */
    void revoke() {
        revoked = true;
    }

    void end(Result result, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response) {
        listener.ended(result, cacheStatus, waitedUs, response);
    }
}
