package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import java.util.function.BiPredicate;
import java.util.function.Function;

/**
 * What the store has to know about the meaning of a policy.
 *
 * @param validate the reason why this director cannot apply a policy, or null
 * @param enforcedByLease whether a director without a lease refuses everything that two policies treat differently
 */
public record PolicyRules(Function<PolicyDocument, String> validate,
        BiPredicate<PolicyDocument, PolicyDocument> enforcedByLease) {}
