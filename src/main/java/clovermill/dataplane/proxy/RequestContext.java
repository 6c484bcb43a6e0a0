package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The state of a request from its arrival until it has ended and all its attempts have ended. */
final class RequestContext {

    private static final long NEVER = Long.MAX_VALUE;

    final ClientRequest request;
    final long receivedUs;
    final long deadlineUs;
    /** Attempts in flight, by attempt number. */
    final Map<Integer, Attempt> inFlight = new HashMap<>(2);
    /** Filter of members; null if the request may use all members. */
    final Predicate<String> allowedMembers;
    /** Number of attempts, including those that were not sent. */
    int attempts;
    private final ProxyCore core;
    /** Timer that answers the client in time if the router does not. */
    private final Deadlines.Deadline overdue;
    /** Handler of the answer; null once the request has been answered or cancelled. */
    private ResponseHandler handler;
    /** Time since which the client may no longer wait: answered, cancelled, or its output closed. */
    private long abandonedSinceUs = NEVER;
    private boolean halfClosed;
    /** Send time of the first ended attempt that may have run; the retry window starts there. */
    private long firstPossibleRunUs = NEVER;

    RequestContext(ProxyCore core, ClientRequest request, ResponseHandler handler, Predicate<String> allowedMembers) {
        this.core = core;
        this.request = request;
        this.handler = handler;
        this.allowedMembers = allowedMembers;
        this.receivedUs = core.clock.micros();
        this.deadlineUs = receivedUs + request.remainingUs();
        this.overdue = core.deadlines.add(deadlineUs + core.answerSlackUs() / 2,
                () -> core.failOverdue(this));
    }

    /** Returns whether the request has been answered or cancelled. */
    boolean hasEnded() {
        return handler == null;
    }

    /**
     * Returns whether the client has closed its output before it got its answer: it has disconnected, or only reads.
     */
    boolean isHalfClosed() {
        return halfClosed && !hasEnded();
    }

    /** Records that the client has closed its output; no further attempt begins. */
    void halfClose() {
        halfClosed = true;
        abandonedSinceUs = Math.min(abandonedSinceUs, core.clock.micros());
    }

    /** Returns whether the client may no longer wait. */
    boolean isAbandoned() {
        return abandonedSinceUs != NEVER;
    }

    /** Returns how long ago the client may have stopped waiting, in microseconds; -1 while it waits. */
    long abandonedForUs() {
        return isAbandoned() ? core.clock.micros() - abandonedSinceUs : -1;
    }

    /** Adds an attempt without sending it. */
    Attempt newAttempt(String member) {
        Attempt attempt = new Attempt(core, this, attempts++, member);
        inFlight.put(attempt.number, attempt);
        return attempt;
    }

    /** Cancels the attempts of which nothing has been written. */
    void cancelQueuedAttempts() {
        for (Attempt attempt : List.copyOf(inFlight.values())) {
            if (!attempt.begun()) {
                attempt.cancel(Result.CANCELLED);
            }
        }
    }

    /** Records that an attempt sent at {@code sentUs} ended without proof that it never ran. */
    void recordPossibleRun(long sentUs) {
        firstPossibleRunUs = Math.min(firstPossibleRunUs, sentUs);
    }

    /** Returns whether an ended attempt may have run. */
    boolean mayHaveRun() {
        return firstPossibleRunUs != NEVER;
    }

    /**
     * Returns the send time of the first attempt except {@code excluded} that may have run, or {@link Long#MAX_VALUE}.
     */
    long firstPossibleRunUs(Attempt excluded) {
        return inFlight.values().stream().filter(attempt -> attempt != excluded && attempt.begun())
                .mapToLong(attempt -> attempt.sentUs).reduce(firstPossibleRunUs, Math::min);
    }

    /**
     * Ends the request and returns its handler, which the caller calls if an answer is due. Every request ends here.
     */
    ResponseHandler end() {
        ResponseHandler ended = handler;
        handler = null;
        abandonedSinceUs = Math.min(abandonedSinceUs, core.clock.micros());
        core.deadlines.cancel(overdue);
        removeIfDone();
        return ended;
    }

    /** Removes the request once it has ended and no attempt is in flight. */
    void removeIfDone() {
        if (hasEnded() && inFlight.isEmpty()) {
            core.removeRequest(this);
        }
    }

    void reject(long retryAfterMs) {
        end().rejected(retryAfterMs);
        recordUsage(UsageRecord.End.REFUSED);
    }

    void fail() {
        end().failed();
        recordUsage(UsageRecord.End.FAILED);
    }

    /** Sends the final answer when no attempt may follow: a rejection only if no attempt may have run. */
    void endUnserved() {
        if (!mayHaveRun()) {
            reject(core.retryAfterMs());
        } else {
            fail();
        }
    }

    /** Records the usage of a request that ended without a response body. */
    void recordUsage(UsageRecord.End end) {
        if (core.recordsUsage()) {
            core.record(new UsageRecord(request, true, receivedUs, core.clock.micros(), end, attempts, null, null,
                    null, 0, 0));
        }
    }

    /** Serves the response of an attempt; usage is recorded once its write has ended. */
    void serve(UpstreamResponse response, Attempt servedBy, CacheStatus cacheStatus) {
        if (!core.recordsUsage()) {
            end().served(response);
            return;
        }
        int attemptsUntilServed = attempts;
        int bodyBytes = response.notModified() ? 0 : response.body().bytes().length;
        end().served(response.withListener((writtenBytes, complete) -> core.record(new UsageRecord(request, true,
                receivedUs, core.clock.micros(), usageEnd(response, complete), attemptsUntilServed, servedBy.member,
                servedBy.source(), cacheStatus, writtenBytes, bodyBytes))));
    }

    private static UsageRecord.End usageEnd(UpstreamResponse response, boolean complete) {
        if (!complete) {
            return UsageRecord.End.BROKEN_OFF;
        }
        return response.notModified() ? UsageRecord.End.NOT_MODIFIED : UsageRecord.End.SERVED;
    }
}
