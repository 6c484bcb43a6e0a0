package clovermill.dataplane.proxy;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;

/** One attempt of a request. It ends once: with its response, its timeout or its cancellation. */
final class Attempt implements AttemptListener {

    /** Limit for writing an abandoned attempt completely; a server counts an attempt from its last byte. */
    private static final long MAX_WRITE_AFTER_ABANDON_US = 50_000;

    final int number;
    final String member;
    final long sentUs;
    private final ProxyCore core;
    private final RequestContext context;
    /** Time from the first attempt that may have run until the last retry, or {@link Long#MAX_VALUE}. */
    private final long retryWindowUs;
    /** The member from which a miss is filled, or null. */
    private String source;
    /** Null until it is sent. */
    private Exchange exchange;
    /** Null until it is sent. */
    private Deadlines.Deadline timeout;
    private boolean hasEnded;
    private long endedUs;
    private LoadReport load;

    Attempt(ProxyCore core, RequestContext context, int number, String member) {
        this.core = core;
        this.context = context;
        this.number = number;
        this.member = member;
        this.retryWindowUs = core.retryWindowUs(context.request);
        this.sentUs = core.clock.micros();
    }

    /** Sends the attempt, which may have ended when this returns. */
    void start(Upstream upstream, AttemptOrder order) {
        source = order.source();
        exchange = upstream.send(order, this);
        if (!hasEnded) {
            timeout = core.deadlines.add(sentUs + order.timeoutUs(), () -> cancel(Result.TIMED_OUT));
        }
    }

    /** Returns the member from which a miss is filled, or null. */
    String source() {
        return source;
    }

    /** Returns whether any byte of the attempt may have left this process. */
    boolean begun() {
        return exchange != null && exchange.begun();
    }

    @Override
    public boolean mayBegin() {
        return abandonedForUs() < 0 && isPermitted();
    }

    @Override
    public boolean mayContinue() {
        return abandonedForUs() < MAX_WRITE_AFTER_ABANDON_US && isPermitted();
    }

    /** Returns how long ago its client or this director may have stopped waiting for it; -1 while both wait. */
    private long abandonedForUs() {
        return Math.max(context.abandonedForUs(), hasEnded ? core.clock.micros() - endedUs : -1);
    }

    /** Returns whether the endpoint filter and the retry window permit the attempt now. */
    private boolean isPermitted() {
        return isAllowed(member) && (source == null || isAllowed(source)) && isInRetryWindow();
    }

    private boolean isAllowed(String id) {
        return context.allowedMembers == null || context.allowedMembers.test(id);
    }

    private boolean isInRetryWindow() {
        long firstRunUs =
                retryWindowUs == Long.MAX_VALUE ? Long.MAX_VALUE : context.firstPossibleRunUs(this);
        return firstRunUs >= sentUs || core.clock.micros() - firstRunUs < retryWindowUs;
    }

    @Override
    public void loadReported(LoadReport report) {
        load = report;
    }

    @Override
    public void ended(Result reported, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response) {
        Result result = isInvalid(response) ? Result.ERROR : reported;
        boolean serves = result == Result.OK && !hasEnded && !context.hasEnded();
        if (response != null && !serves) {
            response.body().close();
        }
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        endedUs = core.clock.micros();
        core.deadlines.cancel(timeout);
        context.inFlight.remove(number);
        if (!result.neverRan()) {
            context.recordPossibleRun(sentUs);
        }
        if (serves) {
            context.serve(response, this, cacheStatus);
        } else if (context.isHalfClosed() && context.inFlight.isEmpty()) {
            context.endUnserved();
        }
        context.removeIfDone();
        core.deliver(new AttemptEnded(context.request.id(), number, member, result, core.clock.micros() - sentUs,
                context.hasEnded(), cacheStatus, waitedUs, load));
    }

    /** Returns whether a member reported the client's copy as valid although the client has none. */
    private boolean isInvalid(UpstreamResponse response) {
        return response != null && response.notModified() && context.request.cachedTag() == null;
    }

    /**
     * Ends the attempt from this side. If it times out before anything was sent, its result is that the connect failed.
     * If it was still queued in this process, its result is that it was not sent, which does not count against the
     * member: many cancellations at once must not make members look unreachable.
     */
    void cancel(Result result) {
        boolean queuedLocally = exchange.isQueuedLocally();
        boolean mayHaveRun = exchange.cancel();
        Result unsent = result == Result.TIMED_OUT && !queuedLocally ? Result.CONNECT_FAILED : Result.NOT_SENT;
        ended(mayHaveRun ? result : unsent, CacheStatus.NONE, 0, null);
    }
}
