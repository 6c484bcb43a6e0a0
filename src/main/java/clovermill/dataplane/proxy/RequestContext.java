package clovermill.dataplane.proxy;

import clovermill.routing.api.Note;
import clovermill.runtime.net.Deadlines;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** A request from its arrival until it has its answer and all its attempts have ended. */
final class RequestContext {

    private static final long OPEN = Long.MAX_VALUE;

    final ClientRequest ask;
    final long takenUs;
    final long deadlineUs;
    final Map<Integer, Attempt> out = new HashMap<>(2);
    /** Null where nothing binds it. */
    final Predicate<String> allowed;
    private final ProxyCore host;
    /** Guards the rule of one answer in time against a module that says nothing. */
    private final Deadlines.Deadline overdue;
    private ResponseHandler asker;
    /** Since when nobody may wait for it any more: answered, given up, or its client sends no more. */
    private long unwantedUs = OPEN;
    private boolean left;
    /** When the earliest attempt was sent that may have run; a repeat is bound by it. */
    private long mayHaveRunUs = OPEN;
    int sent;

    RequestContext(ProxyCore host, ClientRequest ask, ResponseHandler asker, Predicate<String> allowed) {
        this.host = host;
        this.ask = ask;
        this.asker = asker;
        this.allowed = allowed;
        this.takenUs = host.clock.micros();
        this.deadlineUs = takenUs + ask.remainingMicros();
        this.overdue = host.deadlines.add(deadlineUs + host.slackUs() / 2, () -> host.overdue(this));
    }

    boolean over() {
        return asker == null;
    }

    /** Whether its client sends no more, and has not got its answer: it has gone, or only reads. */
    boolean left() {
        return left && !over();
    }

    /** From now on nothing new begins for it. */
    void leave() {
        left = true;
        unwantedUs = Math.min(unwantedUs, host.clock.micros());
    }

    /** For how long nobody may have waited for it, in microseconds; negative while somebody surely does. */
    long unwantedForUs() {
        return unwantedUs == OPEN ? -1 : host.clock.micros() - unwantedUs;
    }

    /** Notes an attempt that ended, or is about to be followed by another, without proof that it never ran. */
    void mayHaveRun(long sentUs) {
        mayHaveRunUs = Math.min(mayHaveRunUs, sentUs);
    }

    /** When the earliest attempt other than {@code one} was sent that may have run, or {@link Long#MAX_VALUE}. */
    long ranBeforeUs(Attempt one) {
        return out.values().stream().filter(each -> each != one && each.begun()).mapToLong(each -> each.sentUs)
                .reduce(mayHaveRunUs, Math::min);
    }

    /** The one place where a request ends; the first to end it gets the asker to answer. */
    ResponseHandler end() {
        ResponseHandler answered = asker;
        asker = null;
        unwantedUs = Math.min(unwantedUs, host.clock.micros());
        host.deadlines.cancel(overdue);
        forget();
        return answered;
    }

    /** The id is free again when no attempt can speak of it any more. */
    void forget() {
        if (over() && out.isEmpty()) {
            host.forget(this);
        }
    }

    void refuse(long afterMs) {
        end().refused(afterMs);
        audited(UsageRecord.End.REFUSED);
    }

    void fail() {
        end().failed();
        audited(UsageRecord.End.FAILED);
    }

    /** The final answer where nothing more may be tried: a refusal only if nothing may have run. */
    void endUnserved() {
        if (mayHaveRunUs == OPEN) {
            refuse(host.awayMs());
        } else {
            fail();
        }
    }

    /** Tells the audit of an end without bytes. */
    void audited(UsageRecord.End how) {
        if (host.audit != null) {
            host.audit
                    .requestEnded(new UsageRecord(ask, true, takenUs, host.clock.micros(), how, sent, null, null, null,
                            0, 0));
        }
    }

    /** Hands over the answer of an attempt; the audit is told when it has been written, or never will be. */
    void serve(UpstreamResponse answer, Attempt by, Note note) {
        if (host.audit == null) {
            end().served(answer);
            return;
        }
        int attempts = sent;
        int size = answer.notModified() ? 0 : answer.body().bytes().length;
        end().served(answer.withListener((bytes,
                whole) -> host.audit.requestEnded(new UsageRecord(ask, true, takenUs, host.clock.micros(),
                        !whole ? UsageRecord.End.BROKEN_OFF : answer.notModified() ? UsageRecord.End.NOT_MODIFIED
                                : UsageRecord.End.SERVED,
                        attempts, by.member, by.source, note, bytes, size))));
    }
}
