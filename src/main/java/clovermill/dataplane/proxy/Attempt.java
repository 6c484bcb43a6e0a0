package clovermill.dataplane.proxy;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;

/** One attempt of a request. It ends once: by its response, its timeout or its cancellation. */
final class Attempt implements AttemptListener {

    /** An abandoned attempt must be written completely by then: a server counts it from its last byte. */
    private static final long MAX_WRITE_AFTER_ABANDON_US = 50_000;

    final int number;
    final String member;
    final long sentUs;
    private final ProxyCore core;
    private final RequestContext context;
    /** Time from an earlier attempt in which this one may be sent, or {@link Long#MAX_VALUE}. */
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

    /** Sends it; it may have ended when this returns. */
    void start(Upstream upstream, AttemptOrder order) {
        source = order.source();
        exchange = upstream.send(order, this);
        if (!hasEnded) {
            timeout = core.deadlines.add(sentUs + order.timeoutUs(), () -> cancel(Result.TIMED_OUT));
        }
    }

    /** The member from which a miss is filled, or null. */
    String source() {
        return source;
    }

    /** Whether any byte of it may have left this process. */
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

    /** For how long its client, or this director, may not have waited for it any more; -1 while both wait. */
    private long abandonedForUs() {
        return Math.max(context.abandonedForUs(), hasEnded ? core.clock.micros() - endedUs : -1);
    }

    /** Whether the filter of endpoints and the retry window permit it now. */
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
    public void ended(Result reported, Note note, long waitedUs, UpstreamResponse response) {
        Result result = isInvalid(response) ? Result.ERROR : reported;
        boolean serves = result == Result.OK && !hasEnded && !context.isOver();
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
            context.serve(response, this, note);
        } else if (context.isHalfClosed() && context.inFlight.isEmpty()) {
            context.endUnserved();
        }
        context.forgetIfDone();
        core.deliver(new Outcome(context.request.id(), number, member, result, core.clock.micros() - sentUs,
                context.isOver(), note, waitedUs, load));
    }

    /** A member that reports the client's copy as valid where the client has none has served nothing. */
    private boolean isInvalid(UpstreamResponse response) {
        return response != null && response.notModified() && context.request.cachedTag() == null;
    }

    /**
     * Ends it from this side. An attempt of which nothing was sent until its timeout counts as not connected. One that
     * was still queued in this process counts as not sent, which is no evidence against the member: many clients that
     * cancel at once must not make members look unreachable.
     */
    void cancel(Result result) {
        boolean queuedLocally = exchange.isQueuedLocally();
        boolean mayHaveRun = exchange.cancel();
        Result unsent = result == Result.TIMED_OUT && !queuedLocally ? Result.UNCONNECTED : Result.NOT_SENT;
        ended(mayHaveRun ? result : unsent, Note.NONE, 0, null);
    }
}
