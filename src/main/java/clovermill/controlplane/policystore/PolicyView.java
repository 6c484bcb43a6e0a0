package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import java.util.Set;

/**
 * The policy that a director applies until its lease expires. In a transition only what both policies allow is
 * permitted. The last three components are information for operators.
 *
 * @param step the step in force at the director, or null before the first lease
 * @param policy the policy in force; in a transition the previous one
 * @param next the policy that a transition introduces, or null
 * @param leaseExpiresAtUs the time at which the lease expires, on the director's clock
 * @param unconfirmed the directors that have not confirmed the transition
 * @param remainingUs the remaining time for which the transition waits for them
 * @param lastAbortReason the reason why the last transition was aborted, or null
 */
public record PolicyView(PolicyTransition step, PolicyDocument policy, PolicyDocument next, long leaseExpiresAtUs,
        Set<Integer> unconfirmed, long remainingUs, String lastAbortReason) {

    /** The view before the first lease. */
    public static final PolicyView NONE = new PolicyView(null, PolicyDocument.EMPTY, null, 0, Set.of(), 0, null);

    /**
     * Returns true if the lease is valid at the given time. Must be checked at the time at which an attempt is sent.
     */
    public boolean isValid(long nowUs) {
        return step != null && nowUs < leaseExpiresAtUs;
    }
}
