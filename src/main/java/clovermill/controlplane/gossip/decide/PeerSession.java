package clovermill.controlplane.gossip.decide;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a member knows of one peer: its present incarnation and the last sequence number of it, by which replayed
 * messages are detected, the digest of its replicated map, and when its last message was received. Not thread-safe;
 * times are microseconds of the owner's clock.
 */
final class PeerSession {

    /** Earlier incarnations of a peer that are remembered, so that their messages cannot be replayed. */
    private static final int MAX_EARLIER_INCARNATIONS = 4;

    private final Deque<Long> earlierIncarnations = new ArrayDeque<>();
    private long incarnation;
    private long lastSequence;
    private long lastReceivedUs;
    private long sentSequence;
    private long digest;
    private boolean known;

    /** A peer that has sent nothing yet; its silence counts from now. */
    PeerSession(long nowUs) {
        this.lastReceivedUs = nowUs;
    }

    /** Whether a message comes from the peer's present incarnation, or a new one, and is no replay. */
    boolean accept(GossipMessage message) {
        if (known && message.incarnation() == incarnation) {
            // Datagrams may be reordered; an overtaken one carries nothing that a later one does not.
            boolean later = message.sequence() > lastSequence;
            lastSequence = Math.max(lastSequence, message.sequence());
            return later;
        }
        if (earlierIncarnations.contains(message.incarnation())) {
            return false;
        }
        if (known) {
            earlierIncarnations.add(incarnation);
            if (earlierIncarnations.size() > MAX_EARLIER_INCARNATIONS) {
                earlierIncarnations.poll();
            }
        }
        incarnation = message.incarnation();
        lastSequence = message.sequence();
        return true;
    }

    /** Records an accepted message; returns whether the peer's digest is another than in its message before. */
    boolean received(long newDigest, long nowUs) {
        boolean changed = !known || digest != newDigest;
        known = true;
        lastReceivedUs = nowUs;
        digest = newDigest;
        return changed;
    }

    /** Whether the peer's replicated map differs from one of this digest, as far as is known. */
    boolean differsFrom(long ownDigest) {
        return !known || digest != ownDigest;
    }

    /** Microseconds since its last message. */
    long silentUs(long nowUs) {
        return nowUs - lastReceivedUs;
    }

    /** The sequence number of the next message to this peer. */
    long nextSequence() {
        return ++sentSequence;
    }
}
