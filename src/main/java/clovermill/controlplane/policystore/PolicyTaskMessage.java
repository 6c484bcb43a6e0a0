package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.util.function.BiConsumer;

/** An event for a {@link PolicyStoreTask}: a message of a director, or a request of this director's operators. */
public sealed interface PolicyTaskMessage {

    /** A message has arrived. */
    record MessageReceived(PolicyMessage message) implements PolicyTaskMessage {}

    /**
     * Operators request a change.
     *
     * @param baseVersion the version that the new policy replaces; for an abort, the version being introduced
     * @param policy the new policy, or null to abort the transition under way
     * @param onResult is called once with the result and the version; null stands for a full queue. Must not block
     */
    record ChangeRequested(long baseVersion, PolicyDocument policy, BiConsumer<ProposalResult, Long> onResult)
            implements PolicyTaskMessage {}
}
