package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.Exchange;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines.Deadline;

/**
 * A request whose dial failed because this machine lacked a port, descriptor, memory or route. The dial is retried at a
 * fixed interval for one dial timeout; then the request ends as not sent, which does not count against the member.
 */
final class DelayedDial implements Exchange {

    /** Interval between two dials. */
    static final long RETRY_INTERVAL_US = 20_000;

    private final UpstreamPool pool;
    private final CacheRequest request;
    private final long lastDialUs;
    private Deadline nextDial;
    private Exchange sent;

    /** Schedules a retry after a failed dial. No dial starts at or after {@code lastDialUs} of the monotonic clock. */
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
        pool.removeDelayed(this); // trySend may end the request, which must end only once
        sent = pool.trySend(request);
        if (sent == null) {
            scheduleDial();
        }
    }

    /** Ends the request with {@code result} before it is sent. */
    void end(Result result) {
        pool.cancel(nextDial);
        pool.removeDelayed(this);
        request.listener().ended(result, CacheStatus.NONE, 0, null);
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

    /** Returns true until it is sent: it waits for this machine, which does not count against the member. */
    @Override
    public boolean isQueuedLocally() {
        return sent == null || sent.isQueuedLocally();
    }
}
