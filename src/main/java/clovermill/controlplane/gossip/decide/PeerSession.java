package clovermill.controlplane.gossip.decide;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The state of one peer as a member sees it: its current incarnation and that incarnation's last sequence number, by
 * which replayed messages are detected, the digest of its replicated map, and the time of its last message. Not
 * thread-safe; times are microseconds of the owner's clock.
 */
final class PeerSession {

    /** Number of earlier incarnations that are remembered, so that their messages cannot be replayed. */
    private static final int MAX_EARLIER_INCARNATIONS = 4;

    private final Deque<Long> earlierIncarnations = new ArrayDeque<>();
    private long incarnation;
    private long lastSequence;
    private long lastReceivedUs;
    private long sentSequence;
    private long digest;
    private boolean known;

    /** Creates the state of a peer that has sent nothing; its silence counts from {@code nowUs}. */
    PeerSession(long nowUs) {
        this.lastReceivedUs = nowUs;
    }

    /** Returns whether a message is from the peer's current incarnation or a new one, and is not replayed. */
    boolean accept(GossipMessage message) {
        if (known && message.incarnation() == incarnation) {
            // Datagrams may be reordered; one that was overtaken has no information that a later one lacks.
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

    /** Records an accepted message; returns whether the peer's digest differs from that in its previous message. */
    boolean received(long newDigest, long nowUs) {
        boolean changed = !known || digest != newDigest;
        known = true;
        lastReceivedUs = nowUs;
        digest = newDigest;
        return changed;
    }

    /** Returns whether the peer's last digest is unknown or differs from {@code ownDigest}. */
    boolean differsFrom(long ownDigest) {
        return !known || digest != ownDigest;
    }

    /** Returns the microseconds since the peer's last message. */
    long silentUs(long nowUs) {
        return nowUs - lastReceivedUs;
    }

    /** Returns the sequence number of the next message to this peer, and increments it. */
    long nextSequence() {
        return ++sentSequence;
    }
}
