package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides, at the leader, when a transition completes or is aborted. It completes when no director can act by an
 * earlier step: each has confirmed the transition, and so given up the previous step, or its lease has expired. One
 * rejection aborts it. A new leader needs no state of the previous one: the wait counts from when this replica learned
 * of the step.
 *
 * @param step the number of the observed step
 * @param learnedAtUs when this replica learned of it
 * @param confirmed the directors that have confirmed it, with the id of the confirming process
 * @param rejection why a director rejects it, or null
 */
public record Coordinator(long step, long learnedAtUs, Map<Integer, Long> confirmed, String rejection) {

    /** Observes no step yet. */
    public static final Coordinator IDLE = new Coordinator(PolicyTransition.NONE, 0, Map.of(), null);

    /** Starts over where the agreed step is another one. */
    public Coordinator observe(PolicyTransition agreed, long nowUs) {
        return agreed.number() == step ? this : new Coordinator(agreed.number(), nowUs, Map.of(), null);
    }

    /** How long the step has been known, on the clock that gave {@link #learnedAtUs}. */
    public long elapsedUs(MonotonicClock clock) {
        return clock.elapsedUs() - learnedAtUs;
    }

    /** Records that a director process has given up every step before {@code confirmedStep}. */
    public Coordinator confirm(int director, long processId, long confirmedStep) {
        if (confirmedStep != step || confirmed.containsKey(director)) {
            return this;
        }
        Map<Integer, Long> more = new TreeMap<>(confirmed);
        more.put(director, processId);
        return new Coordinator(step, learnedAtUs, Map.copyOf(more), rejection);
    }

    /** Records that a director rejects a step; the first reason is the one that is reported. */
    public Coordinator reject(long rejectedStep, String reason) {
        return rejectedStep == step && rejection == null ? new Coordinator(step, learnedAtUs, confirmed, reason)
                : this;
    }

    /**
     * The change to be appended to the log now, if any.
     *
     * @param enforcedByLease whether a director without a lease refuses everything that the two policies treat
     *        differently; if not, every director has to confirm, and a silent one aborts the transition
     */
    public Optional<PolicyChange> nextChange(PolicyRegister register, LeaseTiming timing, boolean enforcedByLease,
            long nowUs) {
        if (!register.step().inTransition() || register.step().number() != step) {
            return Optional.empty();
        }
        if (rejection != null) {
            return Optional.of(new PolicyChange.Abort(step, rejection));
        }
        if (confirmed.size() == timing.directors()) {
            return Optional.of(new PolicyChange.Complete(step));
        }
        if (nowUs - learnedAtUs < timing.expiryWaitUs()) {
            return Optional.empty();
        }
        return Optional.of(enforcedByLease ? new PolicyChange.Complete(step)
                : new PolicyChange.Abort(step, "not every director has confirmed it"));
    }
}
