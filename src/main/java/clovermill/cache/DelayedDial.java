package clovermill.cache;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.host.Upstream;
import clovermill.net.Deadlines.Deadline;

/**
 * A request for which no connection could be dialled since this machine had no port, descriptor, memory or route for
 * one at
 * that moment. The dial is tried again with a pause until a dial's time has passed; then the request has not been sent,
 * which speaks against no member.
 */
final class DelayedDial implements Upstream.Exchange {

    /** From a failed dial to the next. */
    static final long PAUSE_US = 20_000;

    private final CachePool pool;
    private final CacheRequest request;
    private final long untilUs;
    private Deadline next;
    private Upstream.Exchange sent;

    /** The first dial has just failed; the last may begin at {@code untilUs} of the clock. */
    DelayedDial(CachePool pool, CacheRequest request, long untilUs) {
        this.pool = pool;
        this.request = request;
        this.untilUs = untilUs;
        pause();
    }

    CacheRequest request() {
        return request;
    }

    private void pause() {
        pool.delays(this);
        next = pool.deadline(PAUSE_US, this::dial);
    }

    private void dial() {
        if (pool.now() >= Math.min(untilUs, request.dueUs()) || !request.ending().mayBegin()) {
            end(Result.NOT_SENT);
            return;
        }
        pool.dialled(this); // its end may be told in the call, and must not be told again
        sent = pool.trySend(request);
        if (sent == null) {
            pause();
        }
    }

    /** Ends it before it is sent. */
    void end(Result result) {
        pool.cancel(next);
        pool.dialled(this);
        request.ending().ended(result, Note.NONE, 0, null);
    }

    @Override
    public boolean giveUp() {
        if (sent != null) {
            return sent.giveUp();
        }
        pool.cancel(next);
        pool.dialled(this);
        return false;
    }

    @Override
    public boolean begun() {
        return sent != null && sent.begun();
    }

    /** Until it is on a connection it is this machine that holds it back, which speaks against no member. */
    @Override
    public boolean heldHere() {
        return sent == null || sent.heldHere();
    }
}
