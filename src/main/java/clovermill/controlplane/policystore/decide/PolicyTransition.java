package clovermill.controlplane.policystore.decide;

/**
 * A step of the policy: one version in force, or two of which only what both allow may be done. Numbers only grow; a
 * version has the number of the step that first brought it.
 *
 * @param number from 0
 * @param version what was in force before, or is in force alone
 * @param next what is to come, or {@link #NONE}
 */
public record PolicyTransition(long number, long version, long next) {

    /** No version. */
    public static final long NONE = -1;
    /** The first step: the empty policy. */
    public static final PolicyTransition FIRST = new PolicyTransition(0, 0, NONE);

    /** Whether a change is under way. */
    public boolean both() {
        return next != NONE;
    }

    /** The step in which a new version stands beside the present one. */
    PolicyTransition propose() {
        return new PolicyTransition(number + 1, version, number + 1);
    }

    /** The step in which the new version stands alone. */
    PolicyTransition settle() {
        return new PolicyTransition(number + 1, next, NONE);
    }

    /** The step in which the version before stands alone again. */
    PolicyTransition abort() {
        return new PolicyTransition(number + 1, version, NONE);
    }
}
