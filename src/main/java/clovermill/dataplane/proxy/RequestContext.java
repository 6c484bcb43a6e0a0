package clovermill.dataplane.proxy;

import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Deadlines;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** A request from its arrival until it has its answer and all its attempts have ended. */
final class RequestContext {

    private static final long NEVER = Long.MAX_VALUE;

    final ClientRequest request;
    final long receivedUs;
    final long deadlineUs;
    /** By attempt number. */
    final Map<Integer, Attempt> inFlight = new HashMap<>(2);
    /** Null if the request may use all members. */
    final Predicate<String> allowedMembers;
    /** Number of attempts, those included that were not sent. */
    int attempts;
    private final ProxyCore core;
    /** Answers the client in time if the router does not. */
    private final Deadlines.Deadline overdue;
    /** Null once the request has been answered or its client has gone. */
    private ResponseHandler handler;
    /** Since when the client may not wait any more: answered, cancelled, or its output closed. */
    private long abandonedSinceUs = NEVER;
    private boolean halfClosed;
    /** When the first of the ended attempts was sent that may have run; retries are allowed in a window from then. */
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

    /** Whether no answer is owed any more. */
    boolean isOver() {
        return handler == null;
    }

    /** Whether the client has closed its output and has not got its answer: it has gone, or only reads. */
    boolean isHalfClosed() {
        return halfClosed && !isOver();
    }

    /** The client has closed its output; no further attempt begins. */
    void halfClose() {
        halfClosed = true;
        abandonedSinceUs = Math.min(abandonedSinceUs, core.clock.micros());
    }

    /** Whether the client may not wait any more. */
    boolean isAbandoned() {
        return abandonedSinceUs != NEVER;
    }

    /** For how long the client may not have waited any more, in microseconds; -1 while it waits. */
    long abandonedForUs() {
        return isAbandoned() ? core.clock.micros() - abandonedSinceUs : -1;
    }

    /** Adds an attempt, which is not yet sent. */
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

    /** Records that an attempt sent at that time ended without proof that it never ran. */
    void recordPossibleRun(long sentUs) {
        firstPossibleRunUs = Math.min(firstPossibleRunUs, sentUs);
    }

    /** When the first attempt other than {@code excluded} was sent that may have run, or {@link Long#MAX_VALUE}. */
    long firstPossibleRunUs(Attempt excluded) {
        return inFlight.values().stream().filter(attempt -> attempt != excluded && attempt.begun())
                .mapToLong(attempt -> attempt.sentUs).reduce(firstPossibleRunUs, Math::min);
    }

    /** The one place where a request ends; returns the handler, to be called by whoever ended it. */
    ResponseHandler end() {
        ResponseHandler ended = handler;
        handler = null;
        abandonedSinceUs = Math.min(abandonedSinceUs, core.clock.micros());
        core.deadlines.cancel(overdue);
        forgetIfDone();
        return ended;
    }

    /** Frees the id once the request is over and no attempt is in flight. */
    void forgetIfDone() {
        if (isOver() && inFlight.isEmpty()) {
            core.forget(this);
        }
    }

    void refuse(long retryAfterMs) {
        end().refused(retryAfterMs);
        recordUsage(UsageRecord.End.REFUSED);
    }

    void fail() {
        end().failed();
        recordUsage(UsageRecord.End.FAILED);
    }

    /** Gives the final answer where no attempt may follow: refused only if none may have run. */
    void endUnserved() {
        if (firstPossibleRunUs == NEVER) {
            refuse(core.retryAfterMs());
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

    /** Serves the response of an attempt; usage is recorded when it was written, or never will be. */
    void serve(UpstreamResponse response, Attempt servedBy, Note note) {
        if (!core.recordsUsage()) {
            end().served(response);
            return;
        }
        int attemptsUntilServed = attempts;
        int bodyBytes = response.notModified() ? 0 : response.body().bytes().length;
        end().served(response.withListener((writtenBytes, complete) -> core.record(new UsageRecord(request, true,
                receivedUs, core.clock.micros(), endOf(response, complete), attemptsUntilServed, servedBy.member,
                servedBy.source(), note, writtenBytes, bodyBytes))));
    }

    private static UsageRecord.End endOf(UpstreamResponse response, boolean complete) {
        if (!complete) {
            return UsageRecord.End.BROKEN_OFF;
        }
        return response.notModified() ? UsageRecord.End.NOT_MODIFIED : UsageRecord.End.SERVED;
    }
}
