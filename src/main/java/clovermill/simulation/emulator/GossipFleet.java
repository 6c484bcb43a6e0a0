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
 * Directors that gossip over links that lose, delay, duplicate and are cut, each by a clock of its own that is seconds
 * off and drifts, under one limit and with entries put at any of them. The members are the real {@link GossipMember};
 * one seed gives one run.
 */
public final class GossipFleet {

    /**
     * A run: so many directors under a limit by second, which the first {@code hot} of them are asked for {@code
     * offered} times over; links with a loss, a delay of up to so long, and faults. One entry is put every second.
     */
    public record Scenario(int directors, double limit, int hot, double offered, double loss, long delayMs, int seconds,
            List<Cut> cuts, List<Kill> kills) {}

    /** From a time, for so many seconds, the directors from one number up to another are cut off from the others. */
    public record Cut(double at, double lasts, int from, int to) {}

    /** A director dies at a time and starts anew after so many seconds, knowing nothing. */
    public record Kill(double at, double lasts, int which) {}

    /**
     * What was seen. {@code maxAdmittedPerSecond}: admitted by all within any one second, beside its {@code bound};
     * {@code usedShare}: of the limit, where more was offered; {@code staleMs}: the longest until an entry was
     * everywhere, from when the links allowed it, beside its bound; {@code lostEntries}: missing somewhere at the end;
     * {@code excessWhileIsolated}: by a director that was cut off for longer than a term, beyond its own share.
     */
    public record GossipMetrics(double maxAdmittedPerSecond, double bound, double usedShare, long staleMs,
            long staleBoundMs,
            int lostEntries, double excessWhileIsolated) {}

    private static final long STEP_US = 10_000;
    private static final long SECOND_US = 1_000_000;
    private static final double BURST_S = 0.1;
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

    /** An entry that was put, and whether it has reached everywhere. */
    private static final class PutEntry {
        private final String key;
        private long fromUs;
        private boolean replicated;

        PutEntry(String key, long fromUs) {
            this.key = key;
            this.fromUs = fromUs;
        }
    }

    /** A director: its member, null while it is dead, and its clock. */
    private final class Peer {
        private final int number;
        private final double pace = 1 + DRIFT * (random.nextDouble() - 0.5);
        private final long offsetUs = (long) (random.nextDouble() * 20 * SECOND_US);
        private final long phaseUs = (long) (random.nextDouble() * INTERVAL_US);
        private GossipMember member;
        private long nextTickUs;
        private double dueRequests;

        Peer(int number) {
            this.number = number;
        }

        long clock() {
            return offsetUs + (long) (nowUs * pace);
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

    /** Plays a case. */
    public static GossipMetrics play(Scenario scenario, long seed) {
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
            boolean now = nowUs >= cut.at() * SECOND_US && nowUs < (cut.at() + cut.lasts()) * SECOND_US;
            if (now && inside(cut, one) != inside(cut, other)) {
                return false;
            }
        }
        return true;
    }

    private static boolean inside(Cut cut, int number) {
        return number >= cut.from() && number < cut.to();
    }

    /** Every message takes a time of its own, so that they overtake one another; some are lost and some come twice. */
    private void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage each : messages) {
            int copies = random.nextDouble() < scenario.loss() ? 0 : random.nextDouble() < DUPLICATE_RATE ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayUs = (long) (random.nextDouble() * scenario.delayMs() * 1000);
                packets.add(new Packet(nowUs + delayUs, order++, each.to(), each.message()));
            }
        }
    }

    /** Puts an entry at a director, which sends it to some peers at once. */
    private void put() {
        Peer peer = peers.get(random.nextInt(peers.size()));
        if (peer.member != null) {
            String key = "cache/s-" + entries.size();
            peer.member.put(key, true);
            send(peer.member.tick(peer.clock()));
            entries.add(new PutEntry(key, nowUs));
        }
    }

    /** Each hot director is asked for its share of what is offered. */
    private void admit() {
        int now = 0;
        for (int i = 0; i < scenario.hot(); i++) {
            Peer peer = peers.get(i);
            peer.dueRequests += scenario.offered() * scenario.limit() / scenario.hot() * STEP_US / SECOND_US;
            for (; peer.dueRequests >= 1; peer.dueRequests--) {
                now += peer.member != null && peer.member.share(0).admit(peer.clock(), 0) ? 1 : 0;
            }
            if (peer.member != null && isIsolated(i)) {
                double share = limitParameters.perSecond() / limitParameters.directors();
                excessWhileIsolated = Math.max(excessWhileIsolated, peer.member.share(0).amount(peer.clock()) - share);
            }
        }
        admitted += now;
        admittedInWindow += now;
        window.add(now);
        if (window.size() > SECOND_US / STEP_US) {
            admittedInWindow -= window.poll();
        }
        maxAdmittedPerSecond = Math.max(maxAdmittedPerSecond, admittedInWindow);
    }

    /** Whether a director has been cut off for longer than a term. */
    private boolean isIsolated(int number) {
        for (Cut cut : scenario.cuts()) {
            boolean longer = nowUs > cut.at() * SECOND_US + 1.1 * TERM_US;
            if (longer && nowUs < (cut.at() + cut.lasts()) * SECOND_US && cut.to() - cut.from() == 1
                    && cut.from() == number) {
                return true;
            }
        }
        return false;
    }

    /** How long entries take; while links are cut or directors are dead, the time starts anew with the last of it. */
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
