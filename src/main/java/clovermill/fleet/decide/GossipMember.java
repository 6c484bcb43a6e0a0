package clovermill.fleet.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One director's member of a gossip group: what it sends to which peer, what it lends and borrows of the limits, the
 * replicated map, and which peers it has received from lately. Does no I/O: the owner calls {@link #tick} once an
 * interval and {@link #receive} for each authenticated message, and sends what both return.
 *
 * <p>In every interval it sends to a few peers, in a round-robin order that is shuffled anew each round (as SWIM
 * picks its probe targets: Das et al., 2002), so that each peer is sent to once in every round of {@code (n - 1) /
 * fanout} intervals, and reached by rumor mongering much sooner (Demers et al., 1987). A peer whose digest differs is
 * sent further entries (anti-entropy). Not thread-safe; times are microseconds of the owner's clock, which is never
 * compared with another.
 */
public final class GossipMember {

    /** This director's number in the group, the group's size, and how often and to how many peers it sends. */
    public record GroupMembership(int self, int directors, long intervalUs, int fanout) {

        /** Intervals in which every peer is sent to once. */
        int round() {
            return (directors - 2 + fanout) / Math.max(1, fanout);
        }
    }

    /** A message to a peer. */
    public record OutgoingMessage(int to, GossipMessage message) {}

    /** Called with each entry from a peer that changes the replicated map here. */
    public interface Listener {
        void updated(ReplicatedEntry entry);
    }

    /** What the failure detector says of a peer; nothing is requested from one that is unreachable. */
    public enum PeerState {
        ALIVE, SUSPECT, UNREACHABLE
    }

    /** Entries in one message: with the rest it fits one datagram. */
    static final int MAX_MESSAGE_ENTRIES = 12;
    /** Loan requests without an answer, by limit; older ones are dropped, and loans for them are not taken. */
    private static final int MAX_PENDING_REQUESTS = 64;
    /** Rounds without a message after which a peer is suspect, and unreachable. */
    private static final int SUSPECT_ROUNDS = 2;
    private static final int UNREACHABLE_ROUNDS = 5;
    /** Earlier incarnations of a peer that are remembered, so that their messages cannot be replayed. */
    private static final int MAX_EARLIER_BOOTS = 4;
    /** A rumor is sent this many times the logarithm of the group's size. */
    private static final int RUMOR_FACTOR = 4;

    /** What is known of one peer. */
    private static final class Peer {
        private final Deque<Long> earlierBoots = new ArrayDeque<>();
        private long boot;
        private long lastSequence;
        private long lastReceivedUs;
        private long sentSequence;
        private long digest;
        private boolean known;
    }

    /** A new entry, and how many more messages carry it unprompted. */
    private static final class Rumor {
        private final ReplicatedEntry entry;
        private int sendsLeft;

        Rumor(ReplicatedEntry entry, int sendsLeft) {
            this.entry = entry;
            this.sendsLeft = sendsLeft;
        }
    }

    private final GroupMembership membership;
    private final RandomGenerator random;
    private final Listener listener;
    private final long boot;
    private final ReplicatedMap map;
    private final List<LimitShare> shares;
    /** By limit: when the loan of a nonce was requested. */
    private final List<Map<Long, Long>> pendingRequests = new ArrayList<>();
    private final Peer[] peers;
    private final List<Integer> sendOrder = new ArrayList<>();
    private final Map<String, Rumor> rumors = new LinkedHashMap<>();
    private long ignored;

    /** {@code shares} are this director's shares of the limits, in the same order at all directors. */
    public GossipMember(GroupMembership membership, List<? extends LimitShare> shares, RandomGenerator random,
            Listener listener, long nowUs) {
        this.membership = membership;
        this.random = random;
        this.listener = listener;
        this.shares = List.copyOf(shares);
        this.boot = random.nextLong();
        this.map = new ReplicatedMap(membership.self());
        this.peers = new Peer[membership.directors()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer();
            peers[i].lastReceivedUs = nowUs;
        }
        shares.forEach(each -> pendingRequests.add(new LinkedHashMap<>()));
    }

    /**
     * Milliseconds after which an entry has reached all reachable directors where up to three in ten messages are
     * lost: three rounds, or twenty intervals in a small group, and the delay of one message.
     */
    public static long stalenessBoundMs(GroupMembership membership, long delayMs) {
        return Math.max(3 * membership.round(), 20) * membership.intervalUs() / 1000 + delayMs;
    }

    /** Assumes that another process of this director may still admit and lend. */
    public void restart(long nowUs) {
        shares.forEach(share -> share.restart(nowUs));
    }

    /** This director's share of a limit. */
    public LimitShare share(int limit) {
        return shares.get(limit);
    }

    /** Writes a key of the replicated map; false if it has that value already or the map is full. */
    public boolean put(String key, boolean value) {
        ReplicatedEntry written = map.put(key, value);
        if (written != null) {
            startRumor(written);
        }
        return written != null;
    }

    /** Whether a key of the replicated map is set here. */
    public boolean isSet(String key) {
        ReplicatedEntry known = map.get(key);
        return known != null && known.value();
    }

    /** Equal at all directors that hold the same entries. */
    public long digest() {
        return map.digest();
    }

    /** Messages ignored since the start: of no peer, of an earlier incarnation, or replayed. */
    public long ignored() {
        return ignored;
    }

    /** What the failure detector says of a peer. */
    public PeerState state(int peer, long nowUs) {
        long rounds = (nowUs - peers[peer].lastReceivedUs) / (membership.round() * membership.intervalUs());
        if (rounds < SUSPECT_ROUNDS) {
            return PeerState.ALIVE;
        }
        return rounds < UNREACHABLE_ROUNDS ? PeerState.SUSPECT : PeerState.UNREACHABLE;
    }

    /** Sends entries and loan requests to the next few peers. */
    public List<OutgoingMessage> tick(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (int i = 0; i < membership.fanout() && i < membership.directors() - 1; i++) {
            int to = nextPeer();
            out.add(new OutgoingMessage(to, message(to, loanRequests(to, nowUs), List.of())));
        }
        return out;
    }

    /** Handles an authenticated message; returns the replies to be sent at once. */
    public List<OutgoingMessage> receive(GossipMessage message, long nowUs) {
        if (message.from() < 0 || message.from() >= peers.length || message.from() == membership.self()
                || !isNew(peers[message.from()], message)) {
            ignored++;
            return List.of();
        }
        Peer peer = peers[message.from()];
        boolean digestChanged = !peer.known || peer.digest != message.digest();
        peer.known = true;
        peer.lastReceivedUs = nowUs;
        peer.digest = message.digest();
        message.entries().forEach(this::merge);
        message.loans().forEach(loan -> borrow(loan, nowUs));
        List<GossipMessage.Loan> loans = lend(message.loanRequests(), nowUs);
        // A differing digest is answered once for each of the peer's, lest two that differ reply without end.
        boolean sendsEntries = digestChanged && message.digest() != map.digest();
        return loans.isEmpty() && !sendsEntries ? List.of()
                : List.of(new OutgoingMessage(message.from(), message(message.from(), List.of(), loans)));
    }

    private void merge(ReplicatedEntry entry) {
        if (map.merge(entry)) {
            startRumor(entry);
            listener.updated(entry);
        }
    }

    /** Takes a loan if this director requested it, and only once. */
    private void borrow(GossipMessage.Loan loan, long nowUs) {
        if (!isLimit(loan.limit())) {
            return;
        }
        Long requestedUs = pendingRequests.get(loan.limit()).remove(loan.nonce());
        if (requestedUs != null) {
            shares.get(loan.limit()).borrow(loan.amount(), requestedUs, nowUs);
        }
    }

    /** Grants what it can; one loan for each limit at most, so that all fit the datagram. */
    private List<GossipMessage.Loan> lend(List<GossipMessage.LoanRequest> requests, long nowUs) {
        List<GossipMessage.Loan> loans = new ArrayList<>();
        for (GossipMessage.LoanRequest request : requests) {
            if (isLimit(request.limit()) && loans.size() < shares.size()) {
                double granted = shares.get(request.limit()).lend(request.amount(), nowUs);
                if (granted > 0) {
                    loans.add(new GossipMessage.Loan(request.limit(), request.nonce(), granted));
                }
            }
        }
        return loans;
    }

    private boolean isLimit(int limit) {
        return limit >= 0 && limit < shares.size();
    }

    /** Whether a message comes from the peer's present incarnation, or a new one, and is no replay. */
    private static boolean isNew(Peer peer, GossipMessage message) {
        if (peer.known && message.boot() == peer.boot) {
            // Datagrams may be reordered; an overtaken one carries nothing that a later one does not.
            boolean later = message.sequence() > peer.lastSequence;
            peer.lastSequence = Math.max(peer.lastSequence, message.sequence());
            return later;
        }
        if (peer.earlierBoots.contains(message.boot())) {
            return false;
        }
        if (peer.known) {
            peer.earlierBoots.add(peer.boot);
            if (peer.earlierBoots.size() > MAX_EARLIER_BOOTS) {
                peer.earlierBoots.poll();
            }
        }
        peer.boot = message.boot();
        peer.lastSequence = message.sequence();
        return true;
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

    /** Requests for each limit's shortfall to one peer; none to one that is unreachable. */
    private List<GossipMessage.LoanRequest> loanRequests(int to, long nowUs) {
        List<GossipMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < shares.size(); i++) {
            double shortfall = shares.get(i).shortfall(nowUs);
            if (shortfall > 0 && state(to, nowUs) != PeerState.UNREACHABLE) {
                long nonce = random.nextLong();
                remember(pendingRequests.get(i), nonce, nowUs);
                requests.add(new GossipMessage.LoanRequest(i, nonce, Math.min(shortfall, shares.get(i).maxRequest())));
            }
        }
        return requests;
    }

    private static void remember(Map<Long, Long> pending, long nonce, long nowUs) {
        pending.put(nonce, nowUs);
        Iterator<Long> oldest = pending.keySet().iterator();
        while (pending.size() > MAX_PENDING_REQUESTS) {
            oldest.next();
            oldest.remove();
        }
    }

    private GossipMessage message(int to, List<GossipMessage.LoanRequest> requests, List<GossipMessage.Loan> loans) {
        Peer peer = peers[to];
        Map<String, ReplicatedEntry> entries = new HashMap<>();
        rumors.values().removeIf(rumor -> rumor.sendsLeft <= 0);
        for (Rumor rumor : rumors.values()) {
            if (entries.size() < MAX_MESSAGE_ENTRIES) {
                entries.put(rumor.entry.key(), rumor.entry);
                rumor.sendsLeft--;
            }
        }
        if (entries.size() < MAX_MESSAGE_ENTRIES && (!peer.known || peer.digest != map.digest())) {
            map.nextPage(MAX_MESSAGE_ENTRIES - entries.size()).forEach(entry -> entries.put(entry.key(), entry));
        }
        return new GossipMessage(membership.self(), boot, ++peer.sentSequence, map.digest(),
                List.copyOf(entries.values()),
                requests, loans);
    }

    /** Has the next messages carry an entry, so many that an epidemic reaches all. */
    private void startRumor(ReplicatedEntry entry) {
        int sends = RUMOR_FACTOR * (int) Math.ceil(Math.log(membership.directors() + 1));
        rumors.put(entry.key(), new Rumor(entry, sends));
    }
}
