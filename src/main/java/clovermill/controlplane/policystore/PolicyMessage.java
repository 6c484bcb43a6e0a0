package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import io.microraft.model.message.RaftMessage;
import java.util.Set;

/**
 * A message between directors. Any may be lost, delayed, repeated or reordered. The byte form is {@link
 * PolicyMessageBody}'s.
 */
public sealed interface PolicyMessage {

    /** The number of the sending director. */
    int from();

    /**
     * A director process requests a lease and confirms the step it acts by.
     *
     * @param processId drawn at random at the start of the process
     * @param confirmedStep the step it acts by, or {@link PolicyTransition#NONE}
     * @param rejectedStep the step it cannot apply, or {@link PolicyTransition#NONE}
     * @param rejection why it cannot apply that step, or null
     */
    record LeaseRequest(int from, long processId, long requestId, long confirmedStep, long rejectedStep,
            String rejection) implements PolicyMessage {}

    /**
     * The leader grants a lease on the step that was agreed after the request arrived.
     *
     * @param policy the digest of the policy in force, or the previous one in a transition
     * @param next the digest of the policy that a transition introduces; empty without one
     * @param unconfirmed the directors that have not confirmed the transition
     * @param remainingUs how long the transition may still wait for them
     * @param lastAbortReason why the last transition was aborted, or null
     */
    record LeaseGrant(int from, long processId, long requestId, PolicyTransition step, String policy, int policyParts,
            String next, int nextParts, Set<Integer> unconfirmed, long remainingUs, String lastAbortReason)
            implements PolicyMessage {}

    /**
     * Names the leader, or -1 if the sender knows none. A sender that names itself asks for a lease request.
     *
     * @param requestId the request that this answers, or -1
     */
    record LeaderHint(int from, long requestId, int leader) implements PolicyMessage {}

    /** Requests a part of the text with a digest. */
    record PartRequest(int from, String digest, int number) implements PolicyMessage {}

    /** A part of a text, and the number of its parts. */
    record PartResponse(int from, String digest, int number, int parts, String text) implements PolicyMessage {}

    /**
     * A director forwards its operators' change to the leader.
     *
     * @param baseVersion the version that the new policy replaces; for an abort, the version being introduced
     * @param digest the new policy's digest; empty to abort the transition under way
     */
    record ChangeRequest(int from, long requestId, long baseVersion, String digest, int parts)
            implements PolicyMessage {}

    /** The result of a change; with {@link ProposalResult#UNKNOWN} the leader is still fetching the text. */
    record ChangeResponse(int from, long requestId, ProposalResult result, long version) implements PolicyMessage {}

    /** A Raft message for the replica on the receiver's disk with this number. */
    record RaftEnvelope(int from, long disk, RaftMessage message) implements PolicyMessage {}

    /** A voter without its former disk asks to be admitted with a new one; or, if empty, whether a group exists. */
    record JoinRequest(int from, long disk, boolean empty) implements PolicyMessage {}

    /** The answer: whether the sender has a group, and whether the requester's disk votes in it. */
    record JoinResponse(int from, long disk, boolean hasGroup, boolean isVoter) implements PolicyMessage {}
}
