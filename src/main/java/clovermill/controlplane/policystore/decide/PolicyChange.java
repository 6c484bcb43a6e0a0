package clovermill.controlplane.policystore.decide;

/**
 * An entry of the replicated log. Each names the version, step or part it follows, so that a late or repeated entry has
 * no effect.
 */
public sealed interface PolicyChange {

    /**
     * Appends a part to the draft of a policy's text. Parts come in order; part 0 starts a new draft.
     *
     * @param digest the digest of the complete text
     * @param number the part's number, from 0
     */
    record AppendPart(String digest, int number, String text) implements PolicyChange {}

    /** Starts the transition from {@code baseVersion} to the policy whose draft is complete. */
    record Propose(long baseVersion, String digest) implements PolicyChange {}

    /** Ends the transition {@code step} with the new version: no lease on an earlier step is left. */
    record Complete(long step) implements PolicyChange {}

    /** Ends the transition {@code step} with the previous version. */
    record Abort(long step, String reason) implements PolicyChange {}
}
