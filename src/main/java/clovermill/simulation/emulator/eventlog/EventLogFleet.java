package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.EventLogTask.Listener;
import clovermill.controlplane.eventlog.EventLogTask;
import clovermill.controlplane.eventlog.EventLogTaskMessage;
import clovermill.controlplane.eventlog.decide.Delivery;
import clovermill.controlplane.eventlog.decide.EventLogTiming;
import clovermill.controlplane.eventlog.decide.Follower;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import clovermill.simulation.emulator.world.World;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;

/**
 * Four replicas, machines 0 to 3, and directors that follow them and append, on the emulated world. A test drives it by
 * hand; {@link #play} has events and faults drawn from a seed. An {@link InvariantChecker} sees what directors are
 * handed; {@link FleetMachines}, {@link FleetLinks}, {@link EventWorkload} and {@link FaultInjector} run, connect, load
 * and disturb the fleet.
 */
public final class EventLogFleet {

    /** How many replicas there are. */
    public static final int REPLICAS = 4;
    /** A copy may be called proven for so long after a purge of it was acknowledged. */
    public static final long STALENESS_US = EventLogTiming.DEFAULT.maxStalenessUs();
    /** An event is in force at each director that can be reached after so long. */
    public static final long IN_FORCE_US = 7_100_000;

    private static final long SECOND_US = 1_000_000;
    private static final long OBSERVATION_INTERVAL_US = 50_000;
    private static final long FAULT_FREE_END_S = 30;

    private final FleetSize size;
    private final World<EventLogTaskMessage> world;
    private final Random random;
    private final InvariantChecker checker;
    private final FleetLinks links;
    private final EventWorkload workload;
    private final FaultInjector faults;
    private final FleetMachines machines;
    private final CRC32C digest = new CRC32C();
    private long observations;
    private long provenObservations;

    /** A fleet whose machines run from now on. */
    public EventLogFleet(FleetSize size, long seed) {
        int count = REPLICAS + size.directors();
        this.size = size;
        this.world = new World<>(count, EventLogTiming.DEFAULT.drift(), seed);
        this.random = new Random(seed * 31 + 7);
        this.checker = new InvariantChecker(size.directors(), STALENESS_US, IN_FORCE_US, catchUpUs(size));
        this.links = new FleetLinks(world);
        this.machines = new FleetMachines(world, links, random, size.retentionBytes(),
                machine -> startListening(machine - REPLICAS));
        this.workload = new EventWorkload(world, checker, random, size.subjects());
        this.faults = new FaultInjector(this, count, random);
        restoreLinks();
        IntStream.range(0, count).forEach(this::start);
    }

    /** What is retained, with a fifth for headers and repeats, at the rate of one follower. */
    private static long catchUpUs(FleetSize size) {
        return size.retentionBytes() * 6 / 5 * SECOND_US / ReplicaFeed.Bounds.DEFAULT.followerRate();
    }

    /** Lets five calm seconds pass, after which all directors have to hold all events. */
    public void finish() {
        run(world.nowUs() + 5 * SECOND_US);
        checker.end(world.nowUs());
    }

    /** Plays a scenario; the same seed gives the same metrics. */
    public static FleetMetrics play(Scenario plan, long seed) {
        EventLogFleet fleet = new EventLogFleet(plan.size(), seed);
        long end = plan.seconds() * SECOND_US;
        long faultsEndUs = end - FAULT_FREE_END_S * SECOND_US;
        fleet.every(1 / plan.eventsPerSecond(), end - 10 * SECOND_US, fleet::appendAnywhere);
        fleet.every(plan.faultEveryS(), faultsEndUs, fleet.faults::inject);
        fleet.world.at(faultsEndUs, fleet::endFaults);
        fleet.run(end);
        fleet.checker.end(end);
        return fleet.figures();
    }

    /** What was seen so far. */
    public FleetMetrics figures() {
        Follower.Counts followers = machines.followerTotals();
        return new FleetMetrics(checker.known(), faults.injected(), checker.lost(), checker.misordered(),
                checker.duplicated(), checker.stale(), checker.late(), checker.longestUs() / 1000,
                observations == 0 ? 0 : 100 * provenObservations / observations, machines.tornSnapshots(),
                followers.failovers(),
                followers.truncations(), checker.firstViolation(), digest.getValue());
    }

    /** True time. */
    public long nowUs() {
        return world.nowUs();
    }

    /** The task of a machine, as it runs or ran last. */
    public EventLogTask task(int machine) {
        return machines.task(machine);
    }

    /** The machine of a director. */
    public static int machine(int director) {
        return REPLICAS + director;
    }

    /** What a machine has sent and been sent so far. */
    public Traffic traffic(int machine) {
        return links.traffic(machine);
    }

    /** Whether a director that is up calls what it holds proven. */
    public boolean proven(int director) {
        return machines.proven(machine(director));
    }

    /** The replica that leads and is up, or -1. */
    public int leader() {
        return IntStream.range(0, REPLICAS).filter(i -> machines.up(i) && machines.task(i).isLeader()).findFirst()
                .orElse(-1);
    }

    /** Starts a machine that is down. */
    public void start(int machine) {
        machines.start(machine);
    }

    private Listener startListening(int director) {
        checker.started(director, world.nowUs());
        return new Listener() {
            @Override
            public void delivered(Delivery delivery) {
                digest.update((director + ":" + delivery + "@" + world.nowUs()).getBytes(StandardCharsets.US_ASCII));
                checker.delivered(director, delivery, world.nowUs());
            }

            @Override
            public void proven(long untilUs) {}
        };
    }

    /** A datagram leaves a machine. */
    public void send(int from, int to, byte[] bytes) {
        machines.send(from, to, bytes);
    }

    /** From now on a machine sends so many datagrams, at least one, and dies. */
    public void dieAfterSending(int machine, int datagrams) {
        machines.dieAfterSending(machine, datagrams);
    }

    /** A replica dies while it writes the so-manieth chunk of a snapshot from now on. */
    public void dieAtSnapshotChunk(int replica, int chunk) {
        machines.dieAtSnapshotChunk(replica, chunk);
    }

    /** Has each datagram that leaves a machine seen. */
    public void observeDatagrams(DatagramListener listener) {
        links.listener(listener);
    }

    /** Kills a machine; a replica's disk holds what was flushed, and maybe some of the rest. */
    public void kill(int machine) {
        machines.kill(machine);
    }

    /** A replica that is down loses its disk. */
    public void loseDisk(int replica) {
        machines.loseDisk(replica);
    }

    /** A machine stands still for a while. */
    public void pause(int machine, long durationUs) {
        machines.pause(machine, durationUs);
    }

    /** Cuts or mends the way from one machine to another, and not the way back. */
    public void cut(int from, int to, boolean off) {
        links.cut(from, to, off);
    }

    /** Cuts or mends both ways between all of one set of machines and all others. */
    public void isolate(List<Integer> machines, boolean off) {
        links.isolate(machines, off);
    }

    /** Has something done at a time. */
    public void at(long atUs, Runnable what) {
        world.at(atUs, what);
    }

    /** A director appends events as one call, each of its own; the checker sees the acknowledgement. */
    public void append(int director, int count) {
        workload.append(machine(director), count);
    }

    private void appendAnywhere() {
        append(random.nextInt(size.directors()), 1);
    }

    /** Events are appended at some director, so many a second, until a time. */
    public void appendEvenly(double eventsPerSecond, long untilUs) {
        every(1 / eventsPerSecond, untilUs, this::appendAnywhere);
    }

    /** Lets time pass up to a moment, while the checker observations. */
    public void run(long untilUs) {
        for (long at = world.nowUs() + OBSERVATION_INTERVAL_US; at <= untilUs; at += OBSERVATION_INTERVAL_US) {
            world.run(at);
            for (int i = 0; i < size.directors(); i++) {
                boolean proven = proven(i);
                observations++;
                provenObservations += proven ? 1 : 0;
                checker.observe(i, proven, reachable(machine(i)), at);
            }
        }
    }

    /** Whether a director is up, and reaches voters that are up and can elect a leader. */
    private boolean reachable(int machine) {
        List<Integer> voters = IntStream.range(0, REPLICAS)
                .filter(each -> machines.up(each) && machines.task(each).isVoter()).boxed().toList();
        return machines.up(machine) && ReachableQuorum.isReachable(machine, voters, links::connected);
    }

    private void every(double seconds, long until, Runnable what) {
        if (seconds > 0) {
            long next = world.nowUs() + (long) (seconds * SECOND_US * (0.5 + random.nextDouble()));
            if (next < until) {
                world.at(next, () -> {
                    what.run();
                    every(seconds, until, what);
                });
            }
        }
    }

    /** All links lose and delay so much from now on. */
    void degradeLinks(double loss, long wayUs) {
        world.links(loss, wayUs);
    }

    /** All links lose and delay as they did at first. */
    void restoreLinks() {
        world.links(size.loss(), size.wayUs());
    }

    /** Whether a machine's process runs, maybe paused. */
    boolean alive(int machine) {
        return machines.alive(machine);
    }

    /** Starts a machine unless its process runs. */
    void startIfDown(int machine) {
        machines.startIfDown(machine);
    }

    private void endFaults() {
        links.mendAll();
        restoreLinks();
        machines.cancelSnapshotCrashes();
        IntStream.range(0, world.size()).forEach(this::startIfDown);
    }

    /** Seeds from, to; directors; seconds: one line a run. */
    public static void main(String[] args) {
        Scenario plan = new Scenario(new FleetSize(Integer.parseInt(args[2]), 2500, 150, 0.01, 40_000),
                Integer.parseInt(args[3]),
                9.1, 2);
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            System.out.println(seed + " " + play(plan, seed));
        }
    }
}
