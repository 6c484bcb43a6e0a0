package clovermill.controlplane.policystore.decide;

/**
 * An entry of the replicated log. Each entry names the version, step or part that it applies to, so that a late or
 * duplicate entry has no effect.
 */
public sealed interface PolicyChange {

    /**
     * Appends a part to the draft of a policy's text. Parts are appended in order; part 0 starts a new draft.
     *
     * @param digest the digest of the complete text
     * @param number the part's number, from 0
     */
    record AppendPart(String digest, int number, String text) implements PolicyChange {}

    /** Starts the transition from {@code baseVersion} to the policy whose draft is complete. */
    record Propose(long baseVersion, String digest) implements PolicyChange {}

    /** Completes the transition {@code step}: only the new version is in force. No earlier step is leased any more. */
    record Complete(long step) implements PolicyChange {}

    /** Aborts the transition {@code step}: the previous version remains in force. */
    record Abort(long step, String reason) implements PolicyChange {}
}
