package clovermill.controlplane.gossip.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One director as a member of a gossip group. It selects the peers and the content of messages, lends and borrows parts
 * of the limits, and maintains the replicated map and the failure detector's state of each peer. Does no I/O: the owner
 * calls {@link #tick} once an interval and {@link #receive} for each authenticated message, and sends the messages that
 * both return.
 *
 * <p>In every interval it sends to a few peers, in a round-robin order that is shuffled anew each round (as SWIM
 * selects its probe targets: Das et al., 2002). Each peer is sent one message in every round of {@code (n - 1) /
 * fanout} intervals, and reached by rumor mongering much sooner (Demers et al., 1987). A peer whose digest differs is
 * sent further entries (anti-entropy). Not thread-safe; times are microseconds of the owner's clock, which is never
 * compared with another.
 */
public final class GossipMember {

    /**
     * A director's place in the group, and the group's parameters.
     *
     * @param self the index of this director
     * @param directors the number of directors
     * @param intervalUs the time between two sends
     * @param fanout the number of peers that each send goes to
     */
    public record GroupMembership(int self, int directors, long intervalUs, int fanout) {

        /** Returns the number of intervals in which every peer is sent one message. */
        int intervalsPerRound() {
            return (directors - 2 + fanout) / Math.max(1, fanout);
        }
    }

    /** A message to a peer. */
    public record OutgoingMessage(int to, GossipMessage message) {}

    /** Is notified of each entry received from a peer that changes the local replica of the map. */
    public interface Listener {
        /** Called after the entry was merged. */
        void updated(ReplicatedEntry entry);
    }

    /** Maximum number of entries in one message, so that the message fits into one datagram. */
    static final int MAX_MESSAGE_ENTRIES = 12;

    private final GroupMembership membership;
    private final RandomGenerator random;
    private final Listener listener;
    private final long incarnation;
    private final ReplicatedMap map;
    private final LoanExchange loanExchange;
    private final PeerSession[] peers;
    private final RumorQueue rumors;
    /** Peers that have not been sent a message in this round, in reverse order of sending. */
    private final List<Integer> sendOrder = new ArrayList<>();
    private long ignored;

    /**
     * Creates a member with an empty map.
     *
     * @param shares this director's shares of the limits, in the same order at all directors
     */
    public GossipMember(GroupMembership membership, List<? extends LimitShare> shares, RandomGenerator random,
            Listener listener, long nowUs) {
        this.membership = membership;
        this.random = random;
        this.listener = listener;
        this.loanExchange = new LoanExchange(shares, random);
        this.incarnation = random.nextLong();
        this.map = new ReplicatedMap(membership.self());
        this.rumors = new RumorQueue(membership.directors());
        this.peers = new PeerSession[membership.directors()];
        Arrays.setAll(peers, i -> new PeerSession(nowUs));
    }

    /**
     * Returns the milliseconds after which an entry has reached all reachable directors if up to three in ten messages
     * are lost: three rounds, or twenty intervals in a small group, and the delay of one message.
     */
    public static long stalenessBoundMs(GroupMembership membership, long delayMs) {
        return Math.max(3 * membership.intervalsPerRound(), 20) * membership.intervalUs() / 1000 + delayMs;
    }

    /** Withholds all lendable parts for one term, as another process of this director may still admit and lend. */
    public void restart(long nowUs) {
        loanExchange.restart(nowUs);
    }

    /** Returns this director's share of a limit. */
    public LimitShare share(int limit) {
        return loanExchange.share(limit);
    }

    /** Writes a key of the replicated map; returns false if the key has that value already or the map is full. */
    public boolean put(String key, boolean value) {
        ReplicatedEntry written = map.put(key, value);
        if (written != null) {
            rumors.start(written);
        }
        return written != null;
    }

    /** Returns whether a key is set in the local replica of the map. */
    public boolean isSet(String key) {
        ReplicatedEntry known = map.get(key);
        return known != null && known.value();
    }

    /** Returns the map's digest, which is equal at all directors with the same entries. */
    public long digest() {
        return map.digest();
    }

    /** Returns the number of ignored messages since the start: replayed, or from a non-member or an old incarnation. */
    public long ignored() {
        return ignored;
    }

    /** Returns the failure detector's state of a peer. */
    public PeerState state(int peer, long nowUs) {
        return PeerState.afterSilentRounds(
                peers[peer].silentUs(nowUs) / (membership.intervalsPerRound() * membership.intervalUs()));
    }

    /** Returns messages with entries and loan requests to the next few peers. */
    public List<OutgoingMessage> tick(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (int i = 0; i < membership.fanout() && i < membership.directors() - 1; i++) {
            int to = nextPeer();
            List<GossipMessage.LoanRequest> requests = loanExchange.requests(state(to, nowUs), nowUs);
            out.add(new OutgoingMessage(to, message(to, requests, List.of())));
        }
        return out;
    }

    /** Handles an authenticated message and returns the replies, to be sent at once. */
    public List<OutgoingMessage> receive(GossipMessage message, long nowUs) {
        if (!isPeer(message.from()) || !peers[message.from()].accept(message)) {
            ignored++;
            return List.of();
        }
        boolean digestChanged = peers[message.from()].received(message.digest(), nowUs);
        message.entries().forEach(this::merge);
        message.loans().forEach(loan -> loanExchange.borrow(loan, nowUs));
        List<GossipMessage.Loan> loans = loanExchange.lend(message.loanRequests(), nowUs);
        // Each digest of the peer is answered at most once, so that two differing maps cannot cause endless replies.
        boolean replyWithEntries = digestChanged && message.digest() != map.digest();
        return loans.isEmpty() && !replyWithEntries ? List.of()
                : List.of(new OutgoingMessage(message.from(), message(message.from(), List.of(), loans)));
    }

    private boolean isPeer(int director) {
        return director >= 0 && director < peers.length && director != membership.self();
    }

    private void merge(ReplicatedEntry entry) {
        if (map.merge(entry)) {
            rumors.start(entry);
            listener.updated(entry);
        }
    }

    private int nextPeer() {
        if (sendOrder.isEmpty()) {
            for (int i = 0; i < membership.directors(); i++) {
                if (i != membership.self()) {
                    sendOrder.add(random.nextInt(sendOrder.size() + 1), i);
                }
            }
        }
        return sendOrder.remove(sendOrder.size() - 1);
    }

    private GossipMessage message(int to, List<GossipMessage.LoanRequest> requests, List<GossipMessage.Loan> loans) {
        PeerSession peer = peers[to];
        Map<String, ReplicatedEntry> entries = new HashMap<>();
        rumors.addTo(entries, MAX_MESSAGE_ENTRIES);
        if (entries.size() < MAX_MESSAGE_ENTRIES && peer.differsFrom(map.digest())) {
            map.nextPage(MAX_MESSAGE_ENTRIES - entries.size()).forEach(entry -> entries.put(entry.key(), entry));
        }
        return new GossipMessage(membership.self(), incarnation, peer.nextSequence(), map.digest(),
                List.copyOf(entries.values()), requests, loans);
    }
}
