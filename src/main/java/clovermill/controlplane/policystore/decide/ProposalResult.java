package clovermill.controlplane.policystore.decide;

/** The result of a proposal; ordinals are part of the wire form of {@code PolicyMessage.ChangeResponse}. */
public enum ProposalResult {
    /** The transition has begun. */
    BEGUN,
    /** The same text is in force or is being introduced: nothing to do. */
    SAME,
    /** Another transition is under way, or the proposal follows a version that is no longer in force. */
    CONFLICT,
    /** The draft of the text is incomplete. */
    UNKNOWN
}
