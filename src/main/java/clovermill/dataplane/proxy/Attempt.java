package clovermill.dataplane.proxy;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;

/** One attempt of a request. It ends once: by its response, its timeout or its cancellation. */
final class Attempt implements AttemptListener {

    /** An abandoned attempt must be written completely by then: a server counts it from its last byte. */
    private static final long MAX_WRITE_AFTER_ABANDON_MICROS = 50_000;

    final int number;
    final String member;
    final long sentMicros;
    private final ProxyCore core;
    private final RequestContext context;
    /** Time from an earlier attempt in which this one may be sent, or {@link Long#MAX_VALUE}. */
    private final long retryWindowMicros;
    /** The member from which a miss is filled, or null. */
    private String source;
    /** Null until it is sent. */
    private Exchange exchange;
    /** Null until it is sent. */
    private Deadlines.Deadline timeout;
    private boolean hasEnded;
    private long endedMicros;
    private LoadReport load;

    Attempt(ProxyCore core, RequestContext context, int number, String member) {
        this.core = core;
        this.context = context;
        this.number = number;
        this.member = member;
        this.retryWindowMicros = core.retryWindowMicros(context.request);
        this.sentMicros = core.clock.micros();
    }

    /** Sends it; it may have ended when this returns. */
    void start(Upstream upstream, AttemptOrder order) {
        source = order.source();
        exchange = upstream.send(order, this);
        if (!hasEnded) {
            timeout = core.deadlines.add(sentMicros + order.timeoutMicros(), () -> cancel(Result.TIMED_OUT));
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
        return abandonedForMicros() < 0 && isPermitted();
    }

    @Override
    public boolean mayContinue() {
        return abandonedForMicros() < MAX_WRITE_AFTER_ABANDON_MICROS && isPermitted();
    }

    /** For how long its client, or this director, may not have waited for it any more; -1 while both wait. */
    private long abandonedForMicros() {
        return Math.max(context.abandonedForMicros(), hasEnded ? core.clock.micros() - endedMicros : -1);
    }

    /** Whether the filter of endpoints and the retry window permit it now. */
    private boolean isPermitted() {
        return isAllowed(member) && (source == null || isAllowed(source)) && isInRetryWindow();
    }

    private boolean isAllowed(String id) {
        return context.allowedMembers == null || context.allowedMembers.test(id);
    }

    private boolean isInRetryWindow() {
        long firstRunMicros =
                retryWindowMicros == Long.MAX_VALUE ? Long.MAX_VALUE : context.firstPossibleRunMicros(this);
        return firstRunMicros >= sentMicros || core.clock.micros() - firstRunMicros < retryWindowMicros;
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
        endedMicros = core.clock.micros();
        core.deadlines.cancel(timeout);
        context.inFlight.remove(number);
        if (!result.neverRan()) {
            context.recordPossibleRun(sentMicros);
        }
        if (serves) {
            context.serve(response, this, note);
        } else if (context.isHalfClosed() && context.inFlight.isEmpty()) {
            context.endUnserved();
        }
        context.forgetIfDone();
        core.deliver(new Outcome(context.request.id(), number, member, result, core.clock.micros() - sentMicros,
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
