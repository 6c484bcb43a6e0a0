package clovermill.controlplane.policystore.decide;

/**
 * One step of the policy's history: either one version in force, or a transition between two versions, in which only
 * what both allow may be done. Step numbers only grow; a version has the number of the step that introduced it.
 *
 * @param number the step's number, from 0
 * @param version the version in force; in a transition the one before it
 * @param next the version that a transition introduces, or {@link #NONE}
 */
public record PolicyTransition(long number, long version, long next) {

    /** No version, or no step. */
    public static final long NONE = -1;
    /** The first step: the empty policy. */
    public static final PolicyTransition FIRST = new PolicyTransition(0, 0, NONE);

    /** Whether two versions are in force side by side. */
    public boolean inTransition() {
        return next != NONE;
    }

    /** The step in which a new version stands beside the present one. */
    PolicyTransition propose() {
        return new PolicyTransition(number + 1, version, number + 1);
    }

    /** The step in which only the new version is in force. */
    PolicyTransition complete() {
        return new PolicyTransition(number + 1, next, NONE);
    }

    /** The step in which only the previous version is in force again. */
    PolicyTransition abort() {
        return new PolicyTransition(number + 1, version, NONE);
    }
}
