package clovermill.controlplane.eventlog.decide;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * A lease on the completeness of a director's copy of the log (Gray, Cheriton, "Leases", 1989), counted from when the
 * director sent its request, never from when the answer arrived. Without a lease the copy is unproven. Checked at the
 * moment of the effect. Times are microseconds of the owner's clock. Not thread-safe.
 */
public final class FreshnessLease {

    /** No moment is proven. */
    public static final long NEVER = Long.MIN_VALUE / 4;
    /** Requests and proofs remembered; older ones are dropped, which can only prove less. */
    private static final int MAX_PENDING = 32;

    private record PendingRequest(long number, long sentUs) {}

    private record Proof(long head, long asOfUs) {}

    private final EventLogTiming timing;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private final Deque<Proof> pendingProofs = new ArrayDeque<>();
    private long completeAt;
    private long asOfUs = NEVER;
    private long replicaAsOfUs = NEVER;
    private long lastUs = NEVER;

    /** Nothing is proven yet. */
    public FreshnessLease(EventLogTiming timing) {
        this.timing = timing;
    }

    /** A request was sent; its number is larger than those before. */
    public void requestSent(long number, long nowUs) {
        observeClock(nowUs);
        pendingRequests.addLast(new PendingRequest(number, nowUs));
        if (pendingRequests.size() > MAX_PENDING) {
            pendingRequests.removeFirst();
        }
    }

    /**
     * A request was answered with a proof.
     *
     * @param head every event acknowledged before the proof began has at most this sequence number; -1: no proof
     * @param ageUs how long before the answer the proof began, by the replica's clock
     */
    public void responseReceived(long number, long head, long ageUs, long nowUs) {
        observeClock(nowUs);
        for (PendingRequest each : pendingRequests) {
            if (each.number == number && head >= 0 && ageUs >= 0) {
                long provenUs = each.sentUs - (long) Math.ceil(ageUs * (1 + timing.drift()));
                replicaAsOfUs = Math.max(replicaAsOfUs, provenUs);
                pendingProofs.removeIf(proof -> proof.head == head && proof.asOfUs <= provenUs);
                pendingProofs.addLast(new Proof(head, provenUs));
            }
        }
        if (pendingProofs.size() > MAX_PENDING) {
            pendingProofs.removeFirst(); // the oldest proves least
        }
    }

    /** A compacted range was applied; the events that replaced the missing ones lie up to a position. */
    public void incompleteUntil(long position) {
        completeAt = Math.max(completeAt, position);
    }

    /** All entries up to a position have been applied. */
    public void applied(long position) {
        if (position < completeAt) {
            return;
        }
        for (Iterator<Proof> each = pendingProofs.iterator(); each.hasNext();) {
            Proof proof = each.next();
            if (proof.head <= position) {
                asOfUs = Math.max(asOfUs, proof.asOfUs);
                each.remove();
            }
        }
    }

    /** Another log is followed, or the clock ran back: nothing is proven. */
    public void reset() {
        pendingRequests.clear();
        pendingProofs.clear();
        completeAt = 0;
        asOfUs = NEVER;
        replicaAsOfUs = NEVER;
    }

    private void observeClock(long nowUs) {
        if (nowUs < lastUs) {
            reset();
        }
        lastUs = nowUs;
    }

    /** Until when the copy is proven, by the owner's clock; a past moment if it is not. */
    public long provenUntilUs() {
        return asOfUs == NEVER ? NEVER : asOfUs + (long) (timing.stalenessUs() * (1 - timing.drift()));
    }

    /** Whether the copy is proven at a moment. */
    public boolean proven(long nowUs) {
        return nowUs >= lastUs && nowUs < provenUntilUs();
    }

    /** All events acknowledged before this moment have been applied here. */
    public long asOfUs() {
        return asOfUs;
    }

    /** As of when the replicas that answer have proven their own logs, applied here or not. */
    long replicaAsOfUs() {
        return replicaAsOfUs;
    }
}
