package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.EventLogTask.Listener;
import clovermill.controlplane.eventlog.EventLogTask.Membership;
import clovermill.controlplane.eventlog.EventLogTask.ReplicaLimits;
import clovermill.controlplane.eventlog.EventLogTask;
import clovermill.controlplane.eventlog.EventLogTaskMessage;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogTiming;
import clovermill.controlplane.eventlog.decide.Follower;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import clovermill.simulation.emulator.world.World;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * The processes of an {@link EventLogFleet} and the replicas' disks: starts, kills and pauses machines, and has them
 * die at chosen moments. Machines 0 to 3 are the replicas, the others directors.
 */
final class FleetMachines {

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final int SNAPSHOT_EVERY_ENTRIES = 60;
    private static final int MAX_SESSIONS = 4096;

    private final World<EventLogTaskMessage> world;
    private final FleetLinks links;
    private final Random random;
    private final ReplicaLimits limits;
    private final IntFunction<Listener> directorListeners;
    private final EventLogTask[] tasks;
    private final CrashingStorage[] storages = new CrashingStorage[EventLogFleet.REPLICAS];
    /** Datagrams that a machine sends before it dies; none for most. */
    private final Map<Integer, Integer> sendsUntilDeath = new HashMap<>();
    /** Of directors that were killed. */
    private long failovers;
    private long truncations;

    /**
     * Machines that are all down.
     *
     * @param random what a crash leaves on a disk is drawn from it
     * @param directorListeners gives the listener of a machine's director, each time that it starts
     */
    FleetMachines(World<EventLogTaskMessage> world, FleetLinks links, Random random, long retentionBytes,
            IntFunction<Listener> directorListeners) {
        this.world = world;
        this.links = links;
        this.random = random;
        this.limits = new ReplicaLimits(new EventLog.Bounds(retentionBytes, MAX_SESSIONS), ReplicaFeed.Bounds.DEFAULT,
                SNAPSHOT_EVERY_ENTRIES);
        this.directorListeners = directorListeners;
        this.tasks = new EventLogTask[world.size()];
        for (int i = 0; i < storages.length; i++) {
            storages[i] = new CrashingStorage();
        }
    }

    static boolean isReplica(int machine) {
        return machine < EventLogFleet.REPLICAS;
    }

    /** The task of a machine, as it runs or ran last. */
    EventLogTask task(int machine) {
        return tasks[machine];
    }

    /** Whether a machine's process runs and is not paused. */
    boolean up(int machine) {
        return world.machine(machine).up();
    }

    /** Whether a machine's process runs, maybe paused. */
    boolean alive(int machine) {
        return world.machine(machine).alive();
    }

    /** Whether a director that is up calls what it holds proven. */
    boolean proven(int machine) {
        return up(machine) && tasks[machine].proven(world.machine(machine).clock());
    }

    /** Starts a machine that is down. */
    void start(int machine) {
        Random own = new Random(world.random().nextLong());
        List<Integer> replicas = IntStream.range(0, EventLogFleet.REPLICAS).boxed().toList();
        Membership membership = new Membership(machine, world.size(), replicas, EventLogTiming.DEFAULT, KEY);
        EventLogTask.Link link = (to, bytes) -> send(machine, to, bytes);
        Listener listener = isReplica(machine) ? null : directorListeners.apply(machine);
        world.machine(machine).start(clock -> {
            tasks[machine] = isReplica(machine)
                    ? EventLogTask.replica(membership, limits, storages[machine], own, link, clock)
                    : EventLogTask.director(membership, own, link, listener, clock);
            return tasks[machine];
        });
    }

    /** Starts a machine unless its process runs. */
    void startIfDown(int machine) {
        if (!alive(machine)) {
            start(machine);
        }
    }

    /** Kills a machine; a replica's disk holds what was flushed, and maybe some of the rest. */
    void kill(int machine) {
        if (!alive(machine)) {
            return;
        }
        world.machine(machine).kill();
        sendsUntilDeath.remove(machine);
        if (isReplica(machine)) {
            storages[machine].crash(random);
            storages[machine].restart();
        } else {
            failovers += tasks[machine].followerCounts().failovers();
            truncations += tasks[machine].followerCounts().truncations();
        }
    }

    /** A machine stands still for a while; its clock runs on. */
    void pause(int machine, long durationUs) {
        world.machine(machine).stop(durationUs);
    }

    /** A replica that is down loses its disk. */
    void loseDisk(int replica) {
        storages[replica].lose();
    }

    /** From now on a machine sends so many datagrams, at least one, and dies. */
    void dieAfterSending(int machine, int datagrams) {
        sendsUntilDeath.put(machine, datagrams);
    }

    /** A replica dies while it writes the so-manieth chunk of a snapshot from now on. */
    void dieAtSnapshotChunk(int replica, int chunk) {
        storages[replica].crashAtChunk(chunk, random, () -> world.at(world.nowUs(), () -> kill(replica)));
    }

    /** No replica dies at a chunk of a snapshot any more. */
    void cancelSnapshotCrashes() {
        for (CrashingStorage each : storages) {
            each.crashAtChunk(Integer.MAX_VALUE, random, () -> {});
        }
    }

    /** A datagram leaves a machine, unless the machine dies before. */
    void send(int from, int to, byte[] bytes) {
        if (isReplica(from) && storages[from].crashed() || !sendsBeforeDeath(from)) {
            return;
        }
        links.send(from, to, bytes);
    }

    private boolean sendsBeforeDeath(int machine) {
        Integer left = sendsUntilDeath.get(machine);
        if (left == null) {
            return true;
        }
        sendsUntilDeath.put(machine, left - 1);
        if (left == 1) {
            world.at(world.nowUs(), () -> kill(machine));
        }
        return left > 0;
    }

    /** Crashes that found a snapshot half written. */
    int tornSnapshots() {
        return IntStream.range(0, storages.length).map(i -> storages[i].tornSnapshots()).sum();
    }

    /** What all directors have seen, those that were killed too; only failovers and clears are counted over lives. */
    Follower.Counts followerTotals() {
        long allFailovers = failovers;
        long allTruncations = truncations;
        for (int i = EventLogFleet.REPLICAS; i < tasks.length; i++) {
            Follower.Counts counts = tasks[i].followerCounts();
            allFailovers += counts.failovers();
            allTruncations += counts.truncations();
        }
        return new Follower.Counts(0, 0, 0, allFailovers, allTruncations);
    }
}
