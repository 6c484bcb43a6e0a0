package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides at the leader when a transition completes or is aborted. A transition completes when no director can still
 * act on an earlier step: each director has either confirmed the transition, and thereby abandoned the previous step,
 * or its lease has expired. A single rejection aborts the transition. A new leader needs no state from the previous
 * one, because the wait is measured from the time at which this replica first observed the step.
 *
 * @param step the number of the observed step
 * @param observedAtUs the time at which this replica first observed it
 * @param confirmed the directors that have confirmed it, each with the ID of the confirming process
 * @param rejection the reason why a director rejects it, or null
 */
public record Coordinator(long step, long observedAtUs, Map<Integer, Long> confirmed, String rejection) {

    /** The initial state: no step has been observed. */
    public static final Coordinator IDLE = new Coordinator(PolicyTransition.NONE, 0, Map.of(), null);

    /** Returns a coordinator for the agreed step; starts a new wait if the step has changed. */
    public Coordinator observe(PolicyTransition agreed, long nowUs) {
        return agreed.number() == step ? this : new Coordinator(agreed.number(), nowUs, Map.of(), null);
    }

    /** Returns the time since the step was first observed, on the clock that gave {@link #observedAtUs}. */
    public long elapsedUs(MonotonicClock clock) {
        return clock.elapsedUs() - observedAtUs;
    }

    /** Records that a director process has abandoned every step before {@code confirmedStep}. */
    public Coordinator confirm(int director, long processId, long confirmedStep) {
        if (confirmedStep != step || confirmed.containsKey(director)) {
            return this;
        }
        Map<Integer, Long> updated = new TreeMap<>(confirmed);
        updated.put(director, processId);
        return new Coordinator(step, observedAtUs, Map.copyOf(updated), rejection);
    }

    /** Records that a director rejects a step; only the first reason is kept. */
    public Coordinator reject(long rejectedStep, String reason) {
        return rejectedStep == step && rejection == null ? new Coordinator(step, observedAtUs, confirmed, reason)
                : this;
    }

    /**
     * Returns the change to be appended to the log now, if any.
     *
     * @param enforcedByLease true if a director without a lease rejects everything that the two policies treat
     *        differently; if false, every director must confirm, and one that does not causes the transition to abort
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
        if (nowUs - observedAtUs < timing.expiryWaitUs()) {
            return Optional.empty();
        }
        return Optional.of(enforcedByLease ? new PolicyChange.Complete(step)
                : new PolicyChange.Abort(step, "not every director has confirmed it"));
    }
}
