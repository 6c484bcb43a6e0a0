package clovermill.controlplane.policystore.decide;

/** The result of a proposal. The ordinals are part of the wire format of {@code PolicyMessage.ChangeResponse}. */
public enum ProposalResult {
    /** The transition has started. */
    BEGUN,
    /** The same text is already in force or being introduced; nothing changes. */
    SAME,
    /** Another transition is in progress, or the base version of the proposal is no longer in force. */
    CONFLICT,
    /** The draft of the text is incomplete. */
    UNKNOWN
}
