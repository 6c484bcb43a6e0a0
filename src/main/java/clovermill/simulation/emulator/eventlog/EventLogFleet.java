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
 * A fleet on the emulated world: four replicas, machines 0 to 3, and directors that follow them and append events. A
 * test can control it step by step; {@link #simulate} draws events and faults from a seed. An {@link InvariantChecker}
 * checks the deliveries to directors; {@link FleetMachines} runs the machines, {@link FleetLinks} connects them, {@link
 * EventWorkload} appends events and {@link FaultInjector} injects faults.
 */
public final class EventLogFleet {

    /** The number of replicas. */
    public static final int REPLICAS = 4;
    /** The time after a purge was acknowledged for which a copy without it may still be proven current. */
    public static final long STALENESS_US = EventLogTiming.DEFAULT.maxStalenessUs();
    /** The time after which an event is in force at each reachable director. */
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

    /** Creates a fleet and starts all machines. */
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

    /** Returns the time to send the retained bytes, plus a fifth for headers and resends, at a follower's rate. */
    private static long catchUpUs(FleetSize size) {
        return size.retentionBytes() * 6 / 5 * SECOND_US / ReplicaFeed.Bounds.DEFAULT.followerRate();
    }

    /** Runs five seconds without faults, then checks that all directors contain all events. */
    public void finish() {
        run(world.nowUs() + 5 * SECOND_US);
        checker.checkAllDelivered(world.nowUs());
    }

    /** Simulates a scenario; the same seed gives the same metrics. */
    public static FleetMetrics simulate(Scenario scenario, long seed) {
        EventLogFleet fleet = new EventLogFleet(scenario.size(), seed);
        long end = scenario.seconds() * SECOND_US;
        long faultsEndUs = end - FAULT_FREE_END_S * SECOND_US;
        fleet.every(1 / scenario.eventsPerSecond(), end - 10 * SECOND_US, fleet::appendAnywhere);
        fleet.every(scenario.faultIntervalSeconds(), faultsEndUs, fleet.faults::inject);
        fleet.world.at(faultsEndUs, fleet::endFaults);
        fleet.run(end);
        fleet.checker.checkAllDelivered(end);
        return fleet.metrics();
    }

    /** Returns the metrics so far. */
    public FleetMetrics metrics() {
        Follower.Counts followers = machines.followerTotals();
        return new FleetMetrics(checker.acknowledgedCount(), faults.injected(), checker.lost(), checker.misordered(),
                checker.duplicated(), checker.stale(), checker.late(), checker.maxDeliveryUs() / 1000,
                observations == 0 ? 0 : 100 * provenObservations / observations, machines.tornSnapshots(),
                followers.failovers(),
                followers.truncations(), checker.firstViolation(), digest.getValue());
    }

    /** Returns the true time. */
    public long nowUs() {
        return world.nowUs();
    }

    /** Returns the current or last task of a machine. */
    public EventLogTask task(int machine) {
        return machines.task(machine);
    }

    /** Returns the machine of a director. */
    public static int machine(int director) {
        return REPLICAS + director;
    }

    /** Returns the traffic of a machine so far. */
    public Traffic traffic(int machine) {
        return links.traffic(machine);
    }

    /** Returns whether a director is up and its copy of the log is proven current. */
    public boolean proven(int director) {
        return machines.proven(machine(director));
    }

    /** Returns the leader among the replicas that are up, or -1. */
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

    /** Sends a datagram from one machine to another. */
    public void send(int from, int to, byte[] bytes) {
        machines.send(from, to, bytes);
    }

    /** Crashes a machine after it has sent {@code datagrams} more datagrams, at least one. */
    public void crashAfterSending(int machine, int datagrams) {
        machines.crashAfterSending(machine, datagrams);
    }

    /** Crashes a replica while it writes a snapshot chunk, the {@code chunk}th from now on. */
    public void crashAtSnapshotChunk(int replica, int chunk) {
        machines.crashAtSnapshotChunk(replica, chunk);
    }

    /** Sets the listener for all datagrams, replacing the previous one. */
    public void observeDatagrams(DatagramListener listener) {
        links.listener(listener);
    }

    /** Kills a machine; a replica's disk keeps flushed writes, and possibly some of the others. */
    public void kill(int machine) {
        machines.kill(machine);
    }

    /** Erases the disk of a replica that is down. */
    public void loseDisk(int replica) {
        machines.loseDisk(replica);
    }

    /** Pauses a machine; its clock keeps running. */
    public void pause(int machine, long durationUs) {
        machines.pause(machine, durationUs);
    }

    /** Cuts or restores the link from one machine to another, but not the reverse direction. */
    public void cut(int from, int to, boolean disconnected) {
        links.cut(from, to, disconnected);
    }

    /** Cuts or restores both directions of the links between a set of machines and all others. */
    public void isolate(List<Integer> machines, boolean disconnected) {
        links.isolate(machines, disconnected);
    }

    /** Schedules an action. */
    public void at(long atUs, Runnable action) {
        world.at(atUs, action);
    }

    /** Appends {@code count} distinct events at a director as one call; the checker records the acknowledgement. */
    public void append(int director, int count) {
        workload.append(machine(director), count);
    }

    private void appendAnywhere() {
        append(random.nextInt(size.directors()), 1);
    }

    /** Appends events at random directors at a mean rate until the given time. */
    public void appendEvenly(double eventsPerSecond, long untilUs) {
        every(1 / eventsPerSecond, untilUs, this::appendAnywhere);
    }

    /** Runs the fleet until the given time while the checker observes all directors. */
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

    /** Returns whether a director is up, and reaches voters that are up and can elect a leader. */
    private boolean reachable(int machine) {
        List<Integer> voters = IntStream.range(0, REPLICAS)
                .filter(each -> machines.up(each) && machines.task(each).isVoter()).boxed().toList();
        return machines.up(machine) && ReachableQuorum.isReachable(machine, voters, links::connected);
    }

    private void every(double seconds, long until, Runnable action) {
        if (seconds > 0) {
            long next = world.nowUs() + (long) (seconds * SECOND_US * (0.5 + random.nextDouble()));
            if (next < until) {
                world.at(next, () -> {
                    action.run();
                    every(seconds, until, action);
                });
            }
        }
    }

    /** Sets loss and maximum delay of all links. */
    void degradeLinks(double loss, long maxDelayUs) {
        world.links(loss, maxDelayUs);
    }

    /** Sets loss and maximum delay of all links to their initial values. */
    void restoreLinks() {
        world.links(size.loss(), size.maxDelayUs());
    }

    /** Returns whether a machine's process runs, possibly paused. */
    boolean alive(int machine) {
        return machines.alive(machine);
    }

    /** Starts a machine if it is down. */
    void startIfDown(int machine) {
        machines.startIfDown(machine);
    }

    private void endFaults() {
        links.restoreAll();
        restoreLinks();
        machines.cancelSnapshotCrashes();
        IntStream.range(0, world.size()).forEach(this::startIfDown);
    }

    /** Arguments: first seed, last seed (exclusive), directors, seconds. Prints the metrics of each run. */
    public static void main(String[] args) {
        Scenario scenario = new Scenario(new FleetSize(Integer.parseInt(args[2]), 2500, 150, 0.01, 40_000),
                Integer.parseInt(args[3]),
                9.1, 2);
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            System.out.println(seed + " " + simulate(scenario, seed));
        }
    }
}
