package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.util.function.BiConsumer;

/** An event for a {@link PolicyStoreTask}: a message from a director, or a request of this director's operators. */
public sealed interface PolicyTaskMessage {

    /** A message that has arrived. */
    record MessageReceived(PolicyMessage message) implements PolicyTaskMessage {}

    /**
     * A change that this director's operators request.
     *
     * @param baseVersion the version that the new policy replaces; for an abort, the version being introduced
     * @param policy the new policy, or null to abort the transition in progress
     * @param onResult called once with the result and the version; the result is null if too many changes are pending.
     *        Must not block
     */
    record ChangeRequested(long baseVersion, PolicyDocument policy, BiConsumer<ProposalResult, Long> onResult)
            implements PolicyTaskMessage {}
}
