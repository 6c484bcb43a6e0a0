package clovermill.cache;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.host.Answer;
import clovermill.host.Ask;
import clovermill.host.Upstream;
import clovermill.net.Deadlines.Deadline;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** An exchange on its connection: queued there, then sent, then ended or given up. */
final class CacheExchange implements Upstream.Exchange {

    final String id;
    final Upstream.Ending ending;
    private final CacheConnection connection;
    private final CacheRequest request;
    private boolean begun;
    private boolean whole;
    private boolean revoked;
    /** By when it must have begun. */
    Deadline beginBy;

    CacheExchange(CacheConnection connection, CacheRequest request) {
        this.connection = connection;
        this.request = request;
        this.id = request.id();
        this.ending = request.ending();
    }

    @Override
    public boolean heldHere() {
        return !begun && connection.idlesUntilFlush();
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public boolean giveUp() {
        connection.givenUp(this);
        return begun;
    }

    /** Whether a miss of it is to be filled from one of these members. */
    boolean isFilledFrom(Set<String> members) {
        return request.isFilledFrom(members);
    }

    /** Whether it asks for one of these. */
    boolean isFor(Predicate<Ask> which) {
        return request.isFor(which);
    }

    /** Whether it may begin now: somebody waits for it, and has time left. */
    boolean mayBegin(long nowUs) {
        return nowUs < request.dueUs() && ending.mayBegin();
    }

    /** The parts of the request, to be written from now on; they tell the member the time that is left now. */
    List<ByteBuffer> begin(long nowUs) {
        begun = true;
        return request.encoder().apply(request.dueUs() - nowUs);
    }

    /** All of it has been written, or never will be. */
    void written(boolean all) {
        whole = all;
    }

    boolean isWhole() {
        return whole;
    }

    /** A part of it waits to be written, and must not any more. */
    boolean mustStop() {
        return begun && !whole && (revoked || !ending.mayGoOn());
    }

    /** It may not go out any more, whoever waits for it: its member or its source drains, or its copy was purged. */
    void revoke() {
        revoked = true;
    }

    void end(Result result, Note note, long waitedUs, Answer answer) {
        ending.ended(result, note, waitedUs, answer);
    }
}
