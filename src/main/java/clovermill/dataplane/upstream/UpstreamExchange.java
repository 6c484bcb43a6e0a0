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

/** An exchange on its connection: queued there, then sent, then ended or given up. */
final class UpstreamExchange implements Exchange {

    /**
     * A deadline passed to a server may be 150 ms older than the moment of its write; the write follows within the
     * turn.
     */
    private static final long MAX_HEAD_AGE_US = 140_000;

    final String id;
    final AttemptListener ending;
    private final UpstreamConnection connection;
    private final CacheRequest request;
    private boolean begun;
    private long begunUs;
    /** What tells the server the time left, while a part of it may be unwritten. */
    private ByteBuffer head;
    private boolean whole;
    private boolean revoked;
    /** By when it must have begun. */
    Deadline beginBy;

    UpstreamExchange(UpstreamConnection connection, CacheRequest request) {
        this.connection = connection;
        this.request = request;
        this.id = request.id();
        this.ending = request.ending();
    }

    @Override
    public boolean isQueuedLocally() {
        return !begun && connection.idlesUntilFlush();
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public boolean cancel() {
        connection.givenUp(this);
        return begun;
    }

    /** Whether a miss of it is to be filled from one of these members. */
    boolean isFilledFrom(Set<String> members) {
        return request.isFilledFrom(members);
    }

    /** Whether it asks for one of these. */
    boolean isFor(Predicate<ClientRequest> which) {
        return request.isFor(which);
    }

    /** Whether it may begin now: somebody waits for it, and has time left. */
    boolean mayBegin(long nowUs) {
        return nowUs < request.dueUs() && ending.mayBegin();
    }

    /** The parts of the request, to be written from now on; they tell the member the time that is left now. */
    List<ByteBuffer> begin(long nowUs) {
        begun = true;
        begunUs = nowUs;
        List<ByteBuffer> parts = request.encoder().apply(request.dueUs() - nowUs);
        head = parts.get(0);
        return parts;
    }

    /** The first of the parts with which it last began. */
    ByteBuffer head() {
        return head;
    }

    /** Nothing of its parts was written, and they have been retracted: it is queued again. */
    void retracted() {
        begun = false;
        head = null;
    }

    /** All of it has been written, or never will be. */
    void written(boolean all) {
        whole = all;
    }

    boolean isWhole() {
        return whole;
    }

    /**
     * A part of it waits to be written, and must not any more: it was called off, or its deadline figure is too old.
     */
    boolean mustStop(long nowUs) {
        return begun && !whole && (revoked || !ending.mayContinue()
                || head.hasRemaining() && nowUs - begunUs > MAX_HEAD_AGE_US);
    }

    /** It may not go out any more, whoever waits for it: its member or its source drains, or its copy was purged. */
    void revoke() {
        revoked = true;
    }

    void end(Result result, Note note, long waitedUs, UpstreamResponse answer) {
        ending.ended(result, note, waitedUs, answer);
    }
}
