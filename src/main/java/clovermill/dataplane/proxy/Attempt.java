package clovermill.dataplane.proxy;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;

/** One attempt; it ends once, by its answer, its time-out or its being called off. */
final class Attempt implements AttemptListener {

    /** What nobody waits for must not go on going out for longer: it counts as begun when all of it has arrived. */
    private static final long GOES_ON_US = 50_000;

    final RequestContext call;
    final int number;
    final String member;
    final long sentUs;
    /** From where a miss is filled; null where it is not. */
    String source;
    /** Null until it is sent. */
    Exchange exchange;
    Deadlines.Deadline timeout;
    private final ProxyCore host;
    /** How long after the first a further attempt may be sent, or {@link Long#MAX_VALUE} where nothing binds it. */
    private final long windowUs;
    private boolean ended;
    private long endedUs;
    private LoadReport load;

    Attempt(ProxyCore host, RequestContext call, String member, long windowUs) {
        this.host = host;
        this.call = call;
        this.number = call.sent++;
        this.member = member;
        this.windowUs = windowUs;
        this.sentUs = host.clock.micros();
    }

    boolean ended() {
        return ended;
    }

    /** Whether any of it may have left. */
    boolean begun() {
        return exchange != null && exchange.begun();
    }

    @Override
    public boolean mayBegin() {
        return unwantedForUs() < 0 && allowed();
    }

    @Override
    public boolean mayContinue() {
        return unwantedForUs() < GOES_ON_US && allowed();
    }

    /** For how long nobody may have waited for this attempt: its client, or this director, which gave it up. */
    private long unwantedForUs() {
        return Math.max(call.unwantedForUs(), ended ? host.clock.micros() - endedUs : -1);
    }

    /** Whether the policy of the fleet allows it, and the window for repeats, at this moment. */
    private boolean allowed() {
        if (call.allowed != null && !(call.allowed.test(member) && (source == null || call.allowed.test(source)))) {
            return false;
        }
        long ranUs = windowUs == Long.MAX_VALUE ? Long.MAX_VALUE : call.ranBeforeUs(this);
        return ranUs >= sentUs || host.clock.micros() - ranUs < windowUs;
    }

    @Override
    public void loadReported(LoadReport report) {
        load = report;
    }

    @Override
    public void ended(Result told, Note note, long waitedUs, UpstreamResponse answer) {
        // A member that finds the client's copy good where the client holds none has served nothing.
        boolean empty = answer != null && answer.notModified() && call.ask.cachedTag() == null;
        Result result = empty ? Result.ERROR : told;
        boolean serves = result == Result.OK && !ended && !call.over();
        if (answer != null && !serves) {
            answer.body().close();
        }
        if (ended) {
            return;
        }
        ended = true;
        endedUs = host.clock.micros();
        host.deadlines.cancel(timeout);
        call.out.remove(number);
        if (!result.neverRan()) {
            call.mayHaveRun(sentUs);
        }
        if (serves) {
            call.serve(answer, this, note);
        } else if (call.left() && call.out.isEmpty()) {
            call.endUnserved();
        }
        call.forget();
        host.deliver(new Outcome(call.ask.id(), number, member, result, host.clock.micros() - sentUs, call.over(),
                note, waitedUs, load));
    }

    /**
     * Ends it from this side: what was never sent in all its time counts as not connected. What was only
     * withdrawn before its turn to be written came proves that too, but speaks against nobody: clients
     * that withdraw hundreds at once must not make all members look dead.
     */
    void giveUp(Result result) {
        boolean isQueuedLocally = exchange.isQueuedLocally();
        boolean mayHaveRun = exchange.cancel();
        Result unsent = result == Result.TIMED_OUT && !isQueuedLocally ? Result.UNCONNECTED : Result.NOT_SENT;
        ended(mayHaveRun ? result : unsent, Note.NONE, 0, null);
    }
}
