package clovermill.controlplane.eventlog.decide;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * A lease on the completeness of a director's copy of the log (Gray, Cheriton, "Leases", 1989). Its term starts when
 * the director sends its request, never when the answer arrives. Without a lease the copy is unproven. It must be
 * checked at the moment when the copy is used. Times are microseconds of the owner's clock. Not thread-safe.
 */
public final class FreshnessLease {

    /** The time that stands for "never proven". */
    public static final long NEVER = Long.MIN_VALUE / 4;
    /** The maximum number of pending requests and of proofs; dropping the oldest can only shorten the lease. */
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

    /** Creates a lease for a copy that is unproven. */
    public FreshnessLease(EventLogTiming timing) {
        this.timing = timing;
    }

    /** Records a request that was sent; its number is larger than those before. */
    public void requestSent(long number, long nowUs) {
        observeClock(nowUs);
        pendingRequests.addLast(new PendingRequest(number, nowUs));
        if (pendingRequests.size() > MAX_PENDING) {
            pendingRequests.removeFirst();
        }
    }

    /**
     * Records the proof in the answer to a request.
     *
     * @param number the number of the request
     * @param head the highest sequence number of any event acknowledged before the proof began; -1: no proof
     * @param ageUs the time from the start of the proof to the answer, by the replica's clock
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
            pendingProofs.removeFirst(); // the oldest proof gives the shortest lease
        }
    }

    /**
     * Records that a compacted range was applied.
     *
     * @param position the sequence number up to which the events lie that replaced the missing ones
     */
    public void incompleteUntil(long position) {
        completeAt = Math.max(completeAt, position);
    }

    /** Extends the lease by the proofs that are valid now that all entries up to a position have been applied. */
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

    /** Ends the lease and drops all proofs: another log is followed, or the clock went backwards. */
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

    /** Returns the time until which the copy is proven, by the owner's clock; a past time if it is not. */
    public long provenUntilUs() {
        return asOfUs == NEVER ? NEVER : asOfUs + (long) (timing.maxStalenessUs() * (1 - timing.drift()));
    }

    /** Returns whether the copy is proven at a given time. */
    public boolean proven(long nowUs) {
        return nowUs >= lastUs && nowUs < provenUntilUs();
    }

    /** Returns the time before which every acknowledged event has been applied here. */
    public long asOfUs() {
        return asOfUs;
    }

    /** Returns the latest time as of which an answering replica has proven its own log, applied here or not. */
    long replicaAsOfUs() {
        return replicaAsOfUs;
    }
}
