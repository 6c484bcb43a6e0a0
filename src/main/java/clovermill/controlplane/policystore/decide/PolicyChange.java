package clovermill.controlplane.policystore.decide;

/**
 * What the voters put into their log; each names what it follows, so that one that comes late or twice does nothing.
 */
public sealed interface PolicyChange {

    /** One more part of the text of a policy; the parts of one come one after another, the first begins it anew. */
    record Part(String digest, int number, String text) implements PolicyChange {}

    /** A policy whose parts are all there, in place of version {@code follows}. */
    record Propose(long follows, String digest) implements PolicyChange {}

    /** Nobody can act by an earlier step any more: the new version stands alone. */
    record Settle(long step) implements PolicyChange {}

    /** The change of a step is taken back. */
    record Abort(long step, String reason) implements PolicyChange {}
}
