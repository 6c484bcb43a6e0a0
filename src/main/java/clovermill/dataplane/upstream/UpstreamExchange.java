package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines.Deadline;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** An exchange on its connection: queued, then written, then ended or cancelled. */
final class UpstreamExchange implements Exchange {

    /**
     * Age at which an unwritten head is not sent any more. The deadline that it passes to the member may be 150 ms
     * older than the moment of the write, which follows within the turn.
     */
    private static final long MAX_HEAD_AGE_US = 140_000;

    final String id;
    final AttemptListener listener;
    private final UpstreamConnection connection;
    private final CacheRequest request;
    private boolean begun;
    private long begunUs;
    /** The first part of the request, which passes the deadline; null before it begins. */
    private ByteBuffer head;
    private boolean written;
    private boolean revoked;
    /** Ends it unless it begins in time. */
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

    /** Whether a miss of it is to be filled from one of these members. */
    boolean isFilledFrom(Set<String> members) {
        return request.isFilledFrom(members);
    }

    /** Whether it is an attempt of a matching client request. */
    boolean isFor(Predicate<ClientRequest> matches) {
        return request.isFor(matches);
    }

    /** Whether it may begin now: its client waits for it and has time left. */
    boolean mayBegin(long nowUs) {
        return nowUs < request.deadlineUs() && listener.mayBegin();
    }

    /** Begins it: returns the parts to be written, which pass the time left at {@code nowUs} to the member. */
    List<ByteBuffer> begin(long nowUs) {
        begun = true;
        begunUs = nowUs;
        List<ByteBuffer> parts = request.encoder().apply(request.deadlineUs() - nowUs);
        head = parts.get(0);
        return parts;
    }

    /** The first of the parts returned by the last {@link #begin}. */
    ByteBuffer head() {
        return head;
    }

    /** No byte was written, and its parts were retracted: it is queued again. */
    void retracted() {
        begun = false;
        head = null;
    }

    /** The write has ended; {@code complete} if all parts were written. */
    void writeEnded(boolean complete) {
        written = complete;
    }

    /** Whether all parts were written. */
    boolean isWritten() {
        return written;
    }

    /**
     * Whether unwritten parts must not be written any more: it is not wanted, or the deadline in its head is too old.
     */
    boolean mustStop(long nowUs) {
        return begun && !written && (revoked || !listener.mayContinue()
                || head.hasRemaining() && nowUs - begunUs > MAX_HEAD_AGE_US);
    }

    /** Forbids further writes: its member or its source drains, or its object was purged. */
    void revoke() {
        revoked = true;
    }

    void end(Result result, Note note, long waitedUs, UpstreamResponse response) {
        listener.ended(result, note, waitedUs, response);
    }
}
