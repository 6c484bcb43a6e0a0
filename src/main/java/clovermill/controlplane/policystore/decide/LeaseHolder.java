package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.TreeMap;

/**
 * The lease of one director process: whether it may act, and by which step. A lease runs from the moment of its
 * request, on the director's own clock (Gray, Cheriton, 1989). A grant counts only for a request of this process, and
 * never leads back to an earlier step.
 *
 * @param step the step in force here, or null before the first grant
 * @param expiresAtUs when the lease ends
 * @param requests the send time of each unanswered request, by request number
 * @param rejectedStep the step that this director has rejected, or {@link PolicyTransition#NONE}
 */
public record LeaseHolder(PolicyTransition step, long expiresAtUs, Map<Long, Long> requests, long rejectedStep) {

    /** No lease and no request. */
    public static final LeaseHolder EMPTY = new LeaseHolder(null, 0, Map.of(), PolicyTransition.NONE);
    /** Beyond so many unanswered requests the oldest is dropped: its grant would give the shortest lease. */
    private static final int MAX_REQUESTS = 16;

    /** Records a request that is sent now. */
    public LeaseHolder request(long requestId, long nowUs) {
        TreeMap<Long, Long> open = new TreeMap<>(requests);
        open.put(requestId, nowUs);
        while (open.size() > MAX_REQUESTS) {
            open.pollFirstEntry();
        }
        return new LeaseHolder(step, expiresAtUs, Map.copyOf(open), rejectedStep);
    }

    /** Whether a grant would be accepted. */
    public boolean accepts(long requestId, PolicyTransition granted) {
        return requests.containsKey(requestId) && (step == null || granted.number() >= step.number())
                && granted.number() != rejectedStep;
    }

    /** Applies a grant: the step that was agreed at some moment after the request was sent. */
    public LeaseHolder grant(long requestId, PolicyTransition granted, LeaseTiming timing) {
        if (!accepts(requestId, granted)) {
            return this;
        }
        TreeMap<Long, Long> open = new TreeMap<>(requests);
        long sentUs = open.remove(requestId);
        boolean same = step != null && step.number() == granted.number();
        long expires = sentUs + timing.leaseUs();
        return new LeaseHolder(granted, same ? Math.max(expiresAtUs, expires) : expires, Map.copyOf(open),
                rejectedStep);
    }

    /** Rejects a step: the lease on the previous step expires, since one rejection aborts the transition. */
    public LeaseHolder reject(PolicyTransition rejected) {
        return new LeaseHolder(step, expiresAtUs, requests, rejected.number());
    }

    /** Whether the lease is valid at this moment. */
    public boolean isValid(long nowUs) {
        return step != null && nowUs < expiresAtUs;
    }
}
