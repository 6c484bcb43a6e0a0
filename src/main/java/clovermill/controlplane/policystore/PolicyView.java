package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import java.util.Set;

/**
 * The policy that a director may act by until its lease expires. In a transition only what both policies allow may be
 * done. The last three components are for operators only.
 *
 * @param step null before the first lease
 * @param policy the policy in force; in a transition the previous one
 * @param next the policy that a transition introduces, or null
 * @param leaseExpiresAtUs when the lease expires, on the director's clock
 * @param unconfirmed the directors that have not confirmed the transition
 * @param remainingUs how long the transition may still wait for them
 * @param lastAbortReason why the last transition was aborted, or null
 */
public record PolicyView(PolicyTransition step, PolicyDocument policy, PolicyDocument next, long leaseExpiresAtUs,
        Set<Integer> unconfirmed, long remainingUs, String lastAbortReason) {

    /** Before the first lease. */
    public static final PolicyView NONE = new PolicyView(null, PolicyDocument.EMPTY, null, 0, Set.of(), 0, null);

    /** Whether the lease is valid now; to be checked at the moment at which an attempt is written. */
    public boolean isValid(long nowUs) {
        return step != null && nowUs < leaseExpiresAtUs;
    }
}
