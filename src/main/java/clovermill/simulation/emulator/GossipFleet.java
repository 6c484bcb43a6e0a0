package clovermill.simulation.emulator;

import clovermill.controlplane.gossip.decide.GossipMember.GroupMembership;
import clovermill.controlplane.gossip.decide.GossipMember.OutgoingMessage;
import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.gossip.decide.GossipMessage;
import clovermill.controlplane.gossip.decide.RateLimitShare;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet of directors that gossip over links that lose, delay and duplicate messages and can be cut. Each director has
 * its own clock, which is seconds off and drifts. They share one rate limit, and entries are put at any of them. The
 * members are production {@link GossipMember}s; the seed determines the run.
 */
public final class GossipFleet {

    /**
     * The parameters of a run. One entry is put every second.
     *
     * @param limit requests per second that all directors together may admit
     * @param hot how many directors, from number 0 on, receive requests
     * @param offered rate of requests, as a multiple of the limit
     * @param loss the share of messages that are lost
     * @param delayMs the maximum delay of a message
     */
    public record Scenario(int directors, double limit, int hot, double offered, double loss, long delayMs, int seconds,
            List<Cut> cuts, List<Kill> kills) {}

    /** Cuts off directors {@code from} to {@code to}, exclusive, from second {@code at} for {@code lasts} seconds. */
    public record Cut(double at, double lasts, int from, int to) {}

    /** Crashes a director at second {@code at}; it restarts without state after {@code lasts} seconds. */
    public record Kill(double at, double lasts, int which) {}

    /**
     * The measurements of a run.
     *
     * @param maxAdmittedPerSecond the maximum that all directors together admitted within any one second
     * @param bound upper bound of {@code maxAdmittedPerSecond}
     * @param usedShare the admitted share of the limit
     * @param staleMs the longest time until an entry was replicated everywhere, counted from when the links allowed it
     * @param staleBoundMs upper bound of {@code staleMs}
     * @param lostEntries entries that are missing at some director at the end
     * @param excessWhileIsolated the maximum rate, beyond its own share, of a director that was cut off for longer than
     *     a lease term
     */
    public record GossipMetrics(double maxAdmittedPerSecond, double bound, double usedShare, long staleMs,
            long staleBoundMs,
            int lostEntries, double excessWhileIsolated) {}

    private static final long STEP_US = 10_000;
    private static final long SECOND_US = 1_000_000;
    private static final double BURST_S = 0.1;
    /** The term of a lease of a limit's share. */
    private static final long TERM_US = 2_000_000;
    private static final double DRIFT = 0.01;
    private static final long INTERVAL_US = 200_000;
    private static final int FANOUT = 4;
    private static final double DUPLICATE_RATE = 0.02;

    private record Packet(long atUs, long order, int to, GossipMessage message) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    /** An entry that was put, and whether it has been replicated to all directors. */
    private static final class PutEntry {
        private final String key;
        private long fromUs;
        private boolean replicated;

        PutEntry(String key, long fromUs) {
            this.key = key;
            this.fromUs = fromUs;
        }
    }

    /** A director: its gossip member, null while it is down, and its clock. */
    private final class Peer {
        private final int number;
        private final double clockRate = 1 + DRIFT * (random.nextDouble() - 0.5);
        private final long offsetUs = (long) (random.nextDouble() * 20 * SECOND_US);
        private final long phaseUs = (long) (random.nextDouble() * INTERVAL_US);
        private GossipMember member;
        private long nextTickUs;
        private double dueRequests;

        Peer(int number) {
            this.number = number;
        }

        long clock() {
            return offsetUs + (long) (nowUs * clockRate);
        }

        void start() {
            member = new GossipMember(membership(number), List.of(new RateLimitShare(limitParameters, clock())),
                    random.split(),
                    entry -> {}, clock());
            nextTickUs = nowUs + phaseUs;
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final RateLimitShare.Parameters limitParameters;
    private final List<Peer> peers = new ArrayList<>();
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final List<PutEntry> entries = new ArrayList<>();
    private final Deque<Integer> window = new ArrayDeque<>();
    private int admittedInWindow;
    private int maxAdmittedPerSecond;
    private long admitted;
    private long nowUs;
    private long order;
    private long staleUs;
    private double excessWhileIsolated;

    private GossipFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.limitParameters =
                new RateLimitShare.Parameters(scenario.limit(), scenario.directors(), BURST_S, TERM_US, DRIFT);
        for (int i = 0; i < scenario.directors(); i++) {
            peers.add(new Peer(i));
            peers.get(i).start();
        }
    }

    private GroupMembership membership(int number) {
        return new GroupMembership(number, scenario.directors(), INTERVAL_US, FANOUT);
    }

    /** Simulates a scenario; the same seed gives the same metrics. */
    public static GossipMetrics simulate(Scenario scenario, long seed) {
        return new GossipFleet(scenario, seed).run();
    }

    private GossipMetrics run() {
        long end = scenario.seconds() * SECOND_US;
        long nextPutUs = SECOND_US;
        for (nowUs = 0; nowUs < end; nowUs += STEP_US) {
            applyFaults();
            deliverPackets();
            tickMembers();
            if (nowUs >= nextPutUs && nowUs < end - 15 * SECOND_US) {
                nextPutUs += SECOND_US;
                put();
            }
            admit();
            trackReplication();
        }
        int lost = (int) entries.stream().filter(entry -> !setEverywhere(entry.key)).count();
        return new GossipMetrics(maxAdmittedPerSecond, RateLimitShare.maxAdmitted(limitParameters, 1),
                admitted / (scenario.limit() * scenario.seconds()),
                staleUs / 1000, GossipMember.stalenessBoundMs(membership(0), scenario.delayMs()), lost,
                excessWhileIsolated);
    }

    private void deliverPackets() {
        while (!packets.isEmpty() && packets.peek().atUs <= nowUs) {
            Packet packet = packets.poll();
            Peer to = peers.get(packet.to);
            if (to.member != null && linked(packet.message.from(), packet.to)) {
                send(to.member.receive(packet.message, to.clock()));
            }
        }
    }

    private void tickMembers() {
        for (Peer peer : peers) {
            if (peer.member != null && nowUs >= peer.nextTickUs) {
                peer.nextTickUs += INTERVAL_US;
                send(peer.member.tick(peer.clock()));
            }
        }
    }

    private void applyFaults() {
        for (Kill kill : scenario.kills()) {
            Peer peer = peers.get(kill.which());
            if (isDue(kill.at())) {
                peer.member = null;
            } else if (isDue(kill.at() + kill.lasts())) {
                peer.start();
            }
        }
    }

    private boolean isDue(double at) {
        long atUs = (long) (at * SECOND_US);
        return nowUs >= atUs && nowUs - STEP_US < atUs;
    }

    private boolean linked(int one, int other) {
        for (Cut cut : scenario.cuts()) {
            boolean active = nowUs >= cut.at() * SECOND_US && nowUs < (cut.at() + cut.lasts()) * SECOND_US;
            if (active && inside(cut, one) != inside(cut, other)) {
                return false;
            }
        }
        return true;
    }

    private static boolean inside(Cut cut, int number) {
        return number >= cut.from() && number < cut.to();
    }

    /** Sends messages, each with its own delay, so that they can be reordered; some are lost and some duplicated. */
    private void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage each : messages) {
            int copies = random.nextDouble() < scenario.loss() ? 0 : random.nextDouble() < DUPLICATE_RATE ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayUs = (long) (random.nextDouble() * scenario.delayMs() * 1000);
                packets.add(new Packet(nowUs + delayUs, order++, each.to(), each.message()));
            }
        }
    }

    /** Puts an entry at a random director, which immediately sends it to some peers. */
    private void put() {
        Peer peer = peers.get(random.nextInt(peers.size()));
        if (peer.member != null) {
            String key = "cache/s-" + entries.size();
            peer.member.put(key, true);
            send(peer.member.tick(peer.clock()));
            entries.add(new PutEntry(key, nowUs));
        }
    }

    /** Offers each hot director its share of the requests. */
    private void admit() {
        int admittedNow = 0;
        for (int i = 0; i < scenario.hot(); i++) {
            Peer peer = peers.get(i);
            peer.dueRequests += scenario.offered() * scenario.limit() / scenario.hot() * STEP_US / SECOND_US;
            for (; peer.dueRequests >= 1; peer.dueRequests--) {
                admittedNow += peer.member != null && peer.member.share(0).admit(peer.clock(), 0) ? 1 : 0;
            }
            if (peer.member != null && isIsolated(i)) {
                double share = limitParameters.perSecond() / limitParameters.directors();
                excessWhileIsolated = Math.max(excessWhileIsolated, peer.member.share(0).amount(peer.clock()) - share);
            }
        }
        admitted += admittedNow;
        admittedInWindow += admittedNow;
        window.add(admittedNow);
        if (window.size() > SECOND_US / STEP_US) {
            admittedInWindow -= window.poll();
        }
        maxAdmittedPerSecond = Math.max(maxAdmittedPerSecond, admittedInWindow);
    }

    /** Returns whether a director has been cut off for longer than a lease term. */
    private boolean isIsolated(int number) {
        for (Cut cut : scenario.cuts()) {
            boolean termOver = nowUs > cut.at() * SECOND_US + 1.1 * TERM_US;
            if (termOver && nowUs < (cut.at() + cut.lasts()) * SECOND_US && cut.to() - cut.from() == 1
                    && cut.from() == number) {
                return true;
            }
        }
        return false;
    }

    /** Measures replication times, which restart when the last cut link or crashed director has recovered. */
    private void trackReplication() {
        boolean connected = peers.stream().allMatch(peer -> peer.member != null) && scenario.cuts().stream()
                .noneMatch(cut -> nowUs >= cut.at() * SECOND_US && nowUs < (cut.at() + cut.lasts()) * SECOND_US);
        for (PutEntry entry : entries) {
            if (!connected) {
                entry.fromUs = entry.replicated ? entry.fromUs : nowUs;
            } else if (!entry.replicated) {
                entry.replicated = setEverywhere(entry.key);
                staleUs = Math.max(staleUs, nowUs - entry.fromUs);
            }
        }
    }

    private boolean setEverywhere(String key) {
        for (Peer peer : peers) {
            if (peer.member != null && !peer.member.isSet(key)) {
                return false;
            }
        }
        return true;
    }
}
