package clovermill.controlplane.policystore.decide;

import java.util.Map;
import java.util.TreeMap;

/**
 * Whether one process of a director may act, and by which step: while its lease lasts. The lease counts from when it
 * was asked for, on the director's own clock; an answer counts only for a question of this process, and never takes it
 * back to an earlier step.
 *
 * @param step what it acts by, or null before the first grant
 * @param untilUs when the lease ends
 * @param asked questions without an answer yet, by number: when each was sent
 * @param refused the step that it said no to, or {@link PolicyTransition#NONE}
 */
public record LeaseHolder(PolicyTransition step, long untilUs, Map<Long, Long> asked, long refused) {

    /** Knows nothing. */
    public static final LeaseHolder EMPTY = new LeaseHolder(null, 0, Map.of(), PolicyTransition.NONE);
    /** Questions that may be open; of more the oldest is forgotten, whose answer would give the shortest lease. */
    private static final int MOST_ASKED = 16;

    /** A question leaves now. */
    public LeaseHolder asks(long question, long nowUs) {
        TreeMap<Long, Long> open = new TreeMap<>(asked);
        open.put(question, nowUs);
        while (open.size() > MOST_ASKED) {
            open.pollFirstEntry();
        }
        return new LeaseHolder(step, untilUs, Map.copyOf(open), refused);
    }

    /** Whether an answer to a question would change anything. */
    public boolean awaits(long question, PolicyTransition granted) {
        return asked.containsKey(question) && (step == null || granted.number() >= step.number())
                && granted.number() != refused;
    }

    /** The answer to a question: the step that was agreed at some moment after it was asked. */
    public LeaseHolder granted(long question, PolicyTransition granted, LeaseTiming terms) {
        if (!awaits(question, granted)) {
            return this;
        }
        TreeMap<Long, Long> open = new TreeMap<>(asked);
        long sentUs = open.remove(question);
        boolean same = step != null && step.number() == granted.number();
        long until = sentUs + terms.leaseUs();
        return new LeaseHolder(granted, same ? Math.max(untilUs, until) : until, Map.copyOf(open), refused);
    }

    /** The step cannot be kept here: the lease on the one before runs out, as every no takes the change back. */
    public LeaseHolder refuses(PolicyTransition bad) {
        return new LeaseHolder(step, untilUs, asked, bad.number());
    }

    /** Whether anything may be done by the step at this moment. */
    public boolean holds(long nowUs) {
        return step != null && nowUs < untilUs;
    }
}
