package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.TreeMap;

/**
 * The lease of one director process, which determines whether it may act and on which step. A lease starts at the time
 * of its request, on the director's own clock (Gray, Cheriton, 1989). A grant is accepted only for a request of this
 * process, and never moves the director back to an earlier step.
 *
 * @param step the step in force here, or null before the first grant
 * @param expiresAtUs the time at which the lease expires
 * @param requests the send time of each unanswered request, by request number
 * @param rejectedStep the step that this director has rejected, or {@link PolicyTransition#NONE}
 */
public record LeaseHolder(PolicyTransition step, long expiresAtUs, Map<Long, Long> requests, long rejectedStep) {

    /** The initial state: no lease and no requests. */
    public static final LeaseHolder EMPTY = new LeaseHolder(null, 0, Map.of(), PolicyTransition.NONE);
    /** The maximum number of unanswered requests. The oldest is dropped, as its grant would give the shortest lease. */
    private static final int MAX_REQUESTS = 16;

    /** Records a request that is sent now. */
    public LeaseHolder request(long requestId, long nowUs) {
        TreeMap<Long, Long> unanswered = new TreeMap<>(requests);
        unanswered.put(requestId, nowUs);
        while (unanswered.size() > MAX_REQUESTS) {
            unanswered.pollFirstEntry();
        }
        return new LeaseHolder(step, expiresAtUs, Map.copyOf(unanswered), rejectedStep);
    }

    /** Returns true if a grant would be accepted. */
    public boolean accepts(long requestId, PolicyTransition granted) {
        return requests.containsKey(requestId) && (step == null || granted.number() >= step.number())
                && granted.number() != rejectedStep;
    }

    /** Applies a grant of a step that was the agreed one at some time after the request was sent. */
    public LeaseHolder grant(long requestId, PolicyTransition granted, LeaseTiming timing) {
        if (!accepts(requestId, granted)) {
            return this;
        }
        TreeMap<Long, Long> unanswered = new TreeMap<>(requests);
        long sentUs = unanswered.remove(requestId);
        boolean sameStep = step != null && step.number() == granted.number();
        long grantedUntilUs = sentUs + timing.leaseUs();
        return new LeaseHolder(granted, sameStep ? Math.max(expiresAtUs, grantedUntilUs) : grantedUntilUs,
                Map.copyOf(unanswered), rejectedStep);
    }

    /** Rejects a step. The lease on the previous step is left to expire, as one rejection aborts the transition. */
    public LeaseHolder reject(PolicyTransition rejected) {
        return new LeaseHolder(step, expiresAtUs, requests, rejected.number());
    }

    /** Returns true if the lease is valid at the given time. */
    public boolean isValid(long nowUs) {
        return step != null && nowUs < expiresAtUs;
    }
}
