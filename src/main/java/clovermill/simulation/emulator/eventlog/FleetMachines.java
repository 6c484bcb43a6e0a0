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
 * The processes of an {@link EventLogFleet} and the replicas' disks: starts, kills and pauses machines, and crashes
 * them at chosen moments. Machines 0 to 3 are the replicas, the others directors.
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
    /** Number of datagrams that a machine still sends before it crashes; only for machines that are to crash. */
    private final Map<Integer, Integer> sendsUntilCrash = new HashMap<>();
    /** Failovers of directors that were killed. */
    private long failovers;
    /** Truncations of directors that were killed. */
    private long truncations;

    /**
     * Creates the machines, all down.
     *
     * @param random determines what remains on a disk after a crash
     * @param directorListeners provides the listener of a machine's director each time it starts
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

    /** Returns the current or last task of a machine. */
    EventLogTask task(int machine) {
        return tasks[machine];
    }

    /** Returns whether a machine's process runs and is not paused. */
    boolean up(int machine) {
        return world.machine(machine).up();
    }

    /** Returns whether a machine's process runs, possibly paused. */
    boolean alive(int machine) {
        return world.machine(machine).alive();
    }

    /** Returns whether a director is up and its copy of the log is proven current. */
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

    /** Starts a machine if it is down. */
    void startIfDown(int machine) {
        if (!alive(machine)) {
            start(machine);
        }
    }

    /** Kills a machine; a replica's disk keeps flushed writes, and possibly some of the others. */
    void kill(int machine) {
        if (!alive(machine)) {
            return;
        }
        world.machine(machine).kill();
        sendsUntilCrash.remove(machine);
        if (isReplica(machine)) {
            storages[machine].crash(random);
            storages[machine].restart();
        } else {
            failovers += tasks[machine].followerCounts().failovers();
            truncations += tasks[machine].followerCounts().truncations();
        }
    }

    /** Pauses a machine; its clock keeps running. */
    void pause(int machine, long durationUs) {
        world.machine(machine).pause(durationUs);
    }

    /** Erases the disk of a replica that is down. */
    void loseDisk(int replica) {
        storages[replica].lose();
    }

    /** Crashes a machine after it has sent {@code datagrams} more datagrams, at least one. */
    void crashAfterSending(int machine, int datagrams) {
        sendsUntilCrash.put(machine, datagrams);
    }

    /** Crashes a replica while it writes a snapshot chunk, the {@code chunk}th from now on. */
    void crashAtSnapshotChunk(int replica, int chunk) {
        storages[replica].crashAtChunk(chunk, random, () -> world.at(world.nowUs(), () -> kill(replica)));
    }

    /** Cancels all scheduled crashes at snapshot chunks. */
    void cancelSnapshotCrashes() {
        for (CrashingStorage each : storages) {
            each.crashAtChunk(Integer.MAX_VALUE, random, () -> {});
        }
    }

    /** Sends a datagram, unless the machine has crashed. */
    void send(int from, int to, byte[] bytes) {
        if (isReplica(from) && storages[from].crashed() || !sendsBeforeCrash(from)) {
            return;
        }
        links.send(from, to, bytes);
    }

    private boolean sendsBeforeCrash(int machine) {
        Integer remaining = sendsUntilCrash.get(machine);
        if (remaining == null) {
            return true;
        }
        sendsUntilCrash.put(machine, remaining - 1);
        if (remaining == 1) {
            world.at(world.nowUs(), () -> kill(machine));
        }
        return remaining > 0;
    }

    /** Returns the number of crashes that interrupted the write of a snapshot. */
    int tornSnapshots() {
        return IntStream.range(0, storages.length).map(i -> storages[i].tornSnapshots()).sum();
    }

    /** Returns the failovers and truncations of all directors, including killed ones; the other counts are 0. */
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
