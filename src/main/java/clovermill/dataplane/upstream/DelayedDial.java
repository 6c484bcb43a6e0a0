package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.Exchange;
import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines.Deadline;

/**
 * A request that waits for a dial, because this machine lacked a port, descriptor, memory or route. The dial is retried
 * at a fixed interval for the time of one dial; then the request ends as not sent, which does not count against the
 * member.
 */
final class DelayedDial implements Exchange {

    /** Interval between two dials. */
    static final long RETRY_INTERVAL_US = 20_000;

    private final UpstreamPool pool;
    private final CacheRequest request;
    private final long lastDialUs;
    private Deadline nextDial;
    private Exchange sent;

    /** Made after a failed dial; no dial begins at or after {@code lastDialUs} of the monotonic clock. */
    DelayedDial(UpstreamPool pool, CacheRequest request, long lastDialUs) {
        this.pool = pool;
        this.request = request;
        this.lastDialUs = lastDialUs;
        scheduleDial();
    }

    CacheRequest request() {
        return request;
    }

    private void scheduleDial() {
        pool.addDelayed(this);
        nextDial = pool.addTimeout(RETRY_INTERVAL_US, this::dial);
    }

    private void dial() {
        if (pool.nowUs() >= Math.min(lastDialUs, request.deadlineUs()) || !request.listener().mayBegin()) {
            end(Result.NOT_SENT);
            return;
        }
        pool.removeDelayed(this); // the call may end the request, which must end only once
        sent = pool.trySend(request);
        if (sent == null) {
            scheduleDial();
        }
    }

    /** Ends the request before it is sent. */
    void end(Result result) {
        pool.cancel(nextDial);
        pool.removeDelayed(this);
        request.listener().ended(result, Note.NONE, 0, null);
    }

    @Override
    public boolean cancel() {
        if (sent != null) {
            return sent.cancel();
        }
        pool.cancel(nextDial);
        pool.removeDelayed(this);
        return false;
    }

    @Override
    public boolean begun() {
        return sent != null && sent.begun();
    }

    /** Before it is sent it waits for this machine, which does not count against the member. */
    @Override
    public boolean isQueuedLocally() {
        return sent == null || sent.isQueuedLocally();
    }
}
