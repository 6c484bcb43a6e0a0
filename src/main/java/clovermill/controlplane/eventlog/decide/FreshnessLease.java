package clovermill.controlplane.eventlog.decide;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Since when a director knows all events: a lease on the claim that its copy of the log is complete (Gray, Cheriton,
 * "Leases", 1989), counted from when the director asked, never from when the answer arrived. Without a lease
 * what it holds is unproven. Asked at the moment of the effect. Not thread-safe.
 */
public final class FreshnessLease {

    /** No moment is proven. */
    public static final long NEVER = Long.MIN_VALUE / 4;
    /** Questions and proofs remembered; older ones are forgotten, which can only prove less. */
    private static final int MOST = 32;

    private record Question(long number, long askedUs) {}

    private record Proof(long head, long asOfUs) {}

    private final EventLogTiming terms;
    private final Deque<Question> questions = new ArrayDeque<>();
    private final Deque<Proof> waiting = new ArrayDeque<>();
    private long completeAt;
    private long asOfUs = NEVER;
    private long replicaAsOfUs = NEVER;
    private long lastUs = NEVER;

    /** Nothing is proven yet. */
    public FreshnessLease(EventLogTiming terms) {
        this.terms = terms;
    }

    /** A question leaves; numbers grow. */
    public void asked(long number, long nowUs) {
        at(nowUs);
        questions.addLast(new Question(number, nowUs));
        if (questions.size() > MOST) {
            questions.removeFirst();
        }
    }

    /** An answer to a question proves that all events acknowledged before its proof began are up to a position. */
    public void answered(long number, long head, long ageUs, long nowUs) {
        at(nowUs);
        for (Question each : questions) {
            if (each.number == number && head >= 0 && ageUs >= 0) {
                long provenUs = each.askedUs - (long) Math.ceil(ageUs * (1 + terms.drift()));
                replicaAsOfUs = Math.max(replicaAsOfUs, provenUs);
                waiting.removeIf(proof -> proof.head == head && proof.asOfUs <= provenUs);
                waiting.addLast(new Proof(head, provenUs));
            }
        }
        if (waiting.size() > MOST) {
            waiting.removeFirst(); // by the time it comes true it proves least
        }
    }

    /** A range with holes was applied; what replaced the missing entries is up to a position. */
    public void incompleteUntil(long position) {
        completeAt = Math.max(completeAt, position);
    }

    /** All up to a position has been applied. */
    public void applied(long position) {
        if (position < completeAt) {
            return;
        }
        for (Iterator<Proof> each = waiting.iterator(); each.hasNext();) {
            Proof proof = each.next();
            if (proof.head <= position) {
                asOfUs = Math.max(asOfUs, proof.asOfUs);
                each.remove();
            }
        }
    }

    /** Another log began, or the clock ran back: nothing is proven. */
    public void reset() {
        questions.clear();
        waiting.clear();
        completeAt = 0;
        asOfUs = NEVER;
        replicaAsOfUs = NEVER;
    }

    private void at(long nowUs) {
        if (nowUs < lastUs) {
            reset();
        }
        lastUs = nowUs;
    }

    /** Until when what is held is proven, by the owner's clock; in the past if it is not. */
    public long provenUntilUs() {
        return asOfUs == NEVER ? NEVER : asOfUs + (long) (terms.stalenessUs() * (1 - terms.drift()));
    }

    /** Whether what is held is proven at a moment. */
    public boolean proven(long nowUs) {
        return nowUs >= lastUs && nowUs < provenUntilUs();
    }

    /** All events that were acknowledged before this moment are known here. */
    public long asOfUs() {
        return asOfUs;
    }

    /** As of when the replicas that answer have proven their own logs, whether or not all of it is here. */
    long replicaAsOfUs() {
        return replicaAsOfUs;
    }
}
