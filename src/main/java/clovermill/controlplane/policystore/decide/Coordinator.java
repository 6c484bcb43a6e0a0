package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.TreeMap;

/**
 * Decides, at the voters' leader, when a change goes on or back. It goes on when nobody can act by an earlier step any
 * more: a director that has confirmed the step has given up what came before, and the lease of any other has run out
 * for certain. One director's no takes it back. Needs no memory of an earlier leader: what counts is when this voter
 * learned that the step was agreed.
 *
 * @param step the step that is looked after
 * @param knownUs when this voter learned of it
 * @param confirmed the directors that have confirmed it
 * @param no why a director refuses it, or null
 */
public record Coordinator(long step, long knownUs, Map<Integer, Long> confirmed, String no) {

    /** Looks after nothing yet. */
    public static final Coordinator IDLE = new Coordinator(PolicyTransition.NONE, 0, Map.of(), null);

    /** This voter has learned of a step. */
    public Coordinator learned(PolicyTransition agreed, long nowUs) {
        return agreed.number() == step ? this : new Coordinator(agreed.number(), nowUs, Map.of(), null);
    }

    /** How long the step has been known, on the clock that gave {@link #knownUs}. */
    public long livedSince(MonotonicClock steady) {
        return steady.lived() - knownUs;
    }

    /** A process of a director, told apart by {@code boot}, has given up every step before {@code confirmedStep}. */
    public Coordinator confirmed(int director, long boot, long confirmedStep) {
        if (confirmedStep != step || confirmed.containsKey(director)) {
            return this;
        }
        Map<Integer, Long> more = new TreeMap<>(confirmed);
        more.put(director, boot);
        return new Coordinator(step, knownUs, Map.copyOf(more), no);
    }

    /** A director refuses a step. */
    public Coordinator refused(long refusedStep, String reason) {
        return refusedStep == step && no == null ? new Coordinator(step, knownUs, confirmed, reason) : this;
    }

    /**
     * What is to be put into the log now, or null. {@code binding} if who has no lease does nothing that the change is
     * about; else every director has to confirm, and one that stays away takes it back.
     */
    public PolicyChange due(PolicyRegister register, LeaseTiming terms, boolean binding, long nowUs) {
        if (!register.step().both() || register.step().number() != step) {
            return null;
        }
        if (no != null) {
            return new PolicyChange.Abort(step, no);
        }
        if (confirmed.size() == terms.directors()) {
            return new PolicyChange.Settle(step);
        }
        if (nowUs - knownUs < terms.outUs()) {
            return null;
        }
        return binding ? new PolicyChange.Settle(step)
                : new PolicyChange.Abort(step, "not every director has confirmed it");
    }
}
