package clovermill.controlplane.policystore.decide;

/**
 * One step of the policy's history: either one version in force, or a transition between two versions, during which
 * only what both versions allow is permitted. Step numbers increase monotonically; a version has the number of the step
 * that introduced it.
 *
 * @param number the step's number, from 0
 * @param version the version in force; in a transition the previous one
 * @param next the version that a transition introduces, or {@link #NONE}
 */
public record PolicyTransition(long number, long version, long next) {

    /** The value for an absent version or step. */
    public static final long NONE = -1;
    /** The first step, at which the empty policy is in force. */
    public static final PolicyTransition FIRST = new PolicyTransition(0, 0, NONE);

    /** Returns true if two versions are in force at the same time. */
    public boolean inTransition() {
        return next != NONE;
    }

    /** Returns the step that starts the transition to a new version. */
    PolicyTransition propose() {
        return new PolicyTransition(number + 1, version, number + 1);
    }

    /** Returns the step at which only the new version is in force. */
    PolicyTransition complete() {
        return new PolicyTransition(number + 1, next, NONE);
    }

    /** Returns the step at which only the previous version is in force again. */
    PolicyTransition abort() {
        return new PolicyTransition(number + 1, version, NONE);
    }
}
