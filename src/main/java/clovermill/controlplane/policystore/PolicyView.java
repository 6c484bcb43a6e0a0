package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import java.util.Set;

/**
 * What a director may act by, until its lease ends: the policy in force and, in a change, the one to come, of which
 * only what both allow. What the leader told of a change under way goes to operators only.
 *
 * @param next null without a change
 * @param untilUs when the lease ends, on the director's clock
 * @param missing the directors that had not confirmed the step
 * @param leftUs how long the change may still wait for them
 * @param lastReason why the last change was taken back, or null
 */
public record PolicyView(PolicyTransition step, PolicyDocument policy, PolicyDocument next, long untilUs,
        Set<Integer> missing, long leftUs,
        String lastReason) {

    /** Nothing is known yet. */
    public static final PolicyView NONE = new PolicyView(null, PolicyDocument.EMPTY, null, 0, Set.of(), 0, null);

    /** Whether anything may be done by it at this moment: to be asked when an attempt is written. */
    public boolean holds(long nowUs) {
        return step != null && nowUs < untilUs;
    }
}
