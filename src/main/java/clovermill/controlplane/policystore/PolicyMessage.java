package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import io.microraft.model.message.RaftMessage;
import java.util.Set;

/**
 * A message between directors. Messages may be lost, delayed, duplicated or reordered. {@link PolicyMessageBody}
 * defines the wire format.
 */
public sealed interface PolicyMessage {

    /** Returns the number of the sending director. */
    int from();

    /**
     * A director process's request for a lease, which also confirms the step that it acts on.
     *
     * @param processId a random ID chosen at the start of the process
     * @param confirmedStep the step that the process acts on, or {@link PolicyTransition#NONE}
     * @param rejectedStep the step that it cannot apply, or {@link PolicyTransition#NONE}
     * @param rejection the reason why it cannot apply that step, or null
     */
    record LeaseRequest(int from, long processId, long requestId, long confirmedStep, long rejectedStep,
            String rejection) implements PolicyMessage {}

    /**
     * The leader's grant of a lease on the step that was agreed after the request arrived.
     *
     * @param policy the digest of the policy in force, or the previous one in a transition
     * @param next the digest of the policy that a transition introduces; empty outside a transition
     * @param unconfirmed the directors that have not confirmed the transition
     * @param remainingUs the remaining time for which the transition waits for them
     * @param lastAbortReason the reason why the last transition was aborted, or null
     */
    record LeaseGrant(int from, long processId, long requestId, PolicyTransition step, String policy, int policyParts,
            String next, int nextParts, Set<Integer> unconfirmed, long remainingUs, String lastAbortReason)
            implements PolicyMessage {}

    /**
     * The leader as known to the sender, or -1. A sender that names itself asks for a lease request.
     *
     * @param requestId the request that this answers, or -1
     */
    record LeaderHint(int from, long requestId, int leader) implements PolicyMessage {}

    /** A request for a part of the text with a digest. */
    record PartRequest(int from, String digest, int number) implements PolicyMessage {}

    /** A part of a text, with the total number of parts. */
    record PartResponse(int from, String digest, int number, int parts, String text) implements PolicyMessage {}

    /**
     * A change requested by a director's operators, forwarded to the leader.
     *
     * @param baseVersion the version that the new policy replaces; for an abort, the version being introduced
     * @param digest the new policy's digest; empty to abort the transition in progress
     */
    record ChangeRequest(int from, long requestId, long baseVersion, String digest, int parts)
            implements PolicyMessage {}

    /** The result of a change; {@link ProposalResult#UNKNOWN} while the leader is still fetching the text. */
    record ChangeResponse(int from, long requestId, ProposalResult result, long version) implements PolicyMessage {}

    /** A Raft message to the replica on the receiver's disk with the given number. */
    record RaftEnvelope(int from, long disk, RaftMessage message) implements PolicyMessage {}

    /** A request of a voter to be admitted with a new disk or, if {@code empty}, to learn whether a group exists. */
    record JoinRequest(int from, long disk, boolean empty) implements PolicyMessage {}

    /** The response to a {@link JoinRequest}: whether the sender has a group and the requester's disk is a voter. */
    record JoinResponse(int from, long disk, boolean hasGroup, boolean isVoter) implements PolicyMessage {}
}
