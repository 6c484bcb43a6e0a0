package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import java.util.function.BiPredicate;
import java.util.function.Function;

/**
 * The functions through which the store interprets a policy.
 *
 * @param validate returns the reason why this director cannot apply a policy, or null
 * @param enforcedByLease returns true if a director without a lease rejects everything that two policies treat
 *        differently
 */
public record PolicyRules(Function<PolicyDocument, String> validate,
        BiPredicate<PolicyDocument, PolicyDocument> enforcedByLease) {}
