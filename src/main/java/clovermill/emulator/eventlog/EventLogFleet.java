package clovermill.emulator.eventlog;

import clovermill.emulator.world.World;
import clovermill.eventlog.EventLogTask.Listener;
import clovermill.eventlog.EventLogTask.Membership;
import clovermill.eventlog.EventLogTask.ReplicaLimits;
import clovermill.eventlog.EventLogTask;
import clovermill.eventlog.EventLogTaskMessage;
import clovermill.eventlog.decide.Delivery;
import clovermill.eventlog.decide.Event;
import clovermill.eventlog.decide.EventLog.AppendOutcome;
import clovermill.eventlog.decide.EventLog;
import clovermill.eventlog.decide.EventLogTiming;
import clovermill.eventlog.decide.Follower;
import clovermill.eventlog.decide.ReplicaFeed;
import clovermill.eventlog.decide.Subject.Kind;
import clovermill.eventlog.decide.Subject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;

/**
 * Four replicas, machines 0 to 3, and directors that follow them and append, on the emulated world. A test drives it by
 * hand; {@link #play} has events and faults drawn from a seed. An {@link InvariantChecker} sees what directors are handed.
 */
public final class EventLogFleet {

    /** How many replicas there are. */
    public static final int REPLICAS = 4;
    /** A copy may be called proven for so long after a purge of it was acknowledged. */
    public static final long STALENESS_US = EventLogTiming.DEFAULT.stalenessUs();
    /** An event is in force at each director that can be reached after so long. */
    public static final long IN_FORCE_US = 7_100_000;

    /**
     * A fleet.
     *
     * @param retentionBytes bytes of events that replicas keep
     * @param subjects different objects that events are about
     * @param wayUs the longest way of a datagram
     */
    public record FleetSize(int directors, long retentionBytes, int subjects, double loss, long wayUs) {}

    /** A run of a fleet: events a second, a fault every so often, until shortly before the end, which is calm. */
    public record Scenario(FleetSize size, int seconds, double eventsPerSecond, double faultEveryS) {}

    /** What was seen in a run. */
    public record FleetMetrics(int events, int faults, long lost, long misordered, long twice, long stale, long late,
            long longestMs, long provenShare, int tornSnapshots, long failovers, long clears, String first,
            long digest) {

        /** Whether all promises were kept. */
        public boolean holds() {
            return lost + misordered + twice + stale + late == 0;
        }
    }

    /** Bytes, with headers of IP and UDP, and datagrams that a machine has sent and been sent. */
    public record Traffic(long bytesOut, long bytesIn, long datagramsOut, long datagramsIn) {

        private Traffic out(int bytes) {
            return new Traffic(bytesOut + bytes, bytesIn, datagramsOut + 1, datagramsIn);
        }

        private Traffic in(int bytes) {
            return new Traffic(bytesOut, bytesIn + bytes, datagramsOut, datagramsIn + 1);
        }

        /** What came since an earlier moment. */
        public Traffic since(Traffic earlier) {
            return new Traffic(bytesOut - earlier.bytesOut, bytesIn - earlier.bytesIn,
                    datagramsOut - earlier.datagramsOut, datagramsIn - earlier.datagramsIn);
        }
    }

    /** Sees each datagram that leaves a machine. */
    @FunctionalInterface
    public interface DatagramListener {
        /** One leaves. */
        void sent(int from, int to, byte[] bytes);
    }

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADERS = 28;
    private static final long SECOND_US = 1_000_000;
    private static final long LOOK_US = 50_000;
    private static final long CALM_S = 30;
    private static final int SNAPSHOT_EVERY = 60;
    private static final int MOST_SESSIONS = 4096;

    private final FleetSize size;
    private final World<EventLogTaskMessage> world;
    private final Random chance;
    private final InvariantChecker judge;
    private final EventLogTask[] tasks;
    private final CrashingStorage[] storages = new CrashingStorage[REPLICAS];
    private final boolean[][] cut;
    private final Traffic[] traffic;
    /** Datagrams that a machine sends before it dies; none for most. */
    private final Map<Integer, Integer> dying = new HashMap<>();
    private DatagramListener tap = (from, to, bytes) -> {};
    private final CRC32C digest = new CRC32C();
    private int eventsMade;
    private int faults;
    private long looks;
    private long provenLooks;
    private long failovers;
    private long clears;

    /** A fleet whose machines run from now on. */
    public EventLogFleet(FleetSize size, long seed) {
        int machines = REPLICAS + size.directors();
        this.size = size;
        this.world = new World<>(machines, EventLogTiming.DEFAULT.drift(), seed);
        this.chance = new Random(seed * 31 + 7);
        this.judge = new InvariantChecker(size.directors(), STALENESS_US, IN_FORCE_US, catchUpUs(size));
        this.tasks = new EventLogTask[machines];
        this.cut = new boolean[machines][machines];
        this.traffic = new Traffic[machines];
        for (int i = 0; i < REPLICAS; i++) {
            storages[i] = new CrashingStorage();
        }
        world.links(size.loss(), size.wayUs());
        Arrays.fill(traffic, new Traffic(0, 0, 0, 0));
        IntStream.range(0, machines).forEach(this::start);
    }

    /** Catching up takes as long as all that is kept, with a fifth for headers and what is sent twice, at the rate. */
    private static long catchUpUs(FleetSize size) {
        return size.retentionBytes() * 6 / 5 * SECOND_US / ReplicaFeed.Bounds.DEFAULT.followerRate();
    }

    /** Lets five calm seconds pass, after which all directors have to hold all events. */
    public void finish() {
        run(world.nowUs() + 5 * SECOND_US);
        judge.end(world.nowUs());
    }

    /** Plays a case. */
    public static FleetMetrics play(Scenario plan, long seed) {
        EventLogFleet fleet = new EventLogFleet(plan.size(), seed);
        long end = plan.seconds() * SECOND_US;
        long calmFrom = end - CALM_S * SECOND_US;
        fleet.every(1 / plan.eventsPerSecond(), end - 10 * SECOND_US, fleet::append);
        fleet.every(plan.faultEveryS(), calmFrom, fleet::fault);
        fleet.world.at(calmFrom, fleet::calm);
        fleet.run(end);
        fleet.judge.end(end);
        return fleet.figures();
    }

    /** What was seen so far. */
    public FleetMetrics figures() {
        int torn = 0;
        for (CrashingStorage each : storages) {
            torn += each.tornSnapshots();
        }
        long failoversNow = failovers;
        long clearsNow = clears;
        for (int i = 0; i < size.directors(); i++) {
            Follower.Counts counts = tasks[REPLICAS + i].followerCounts();
            failoversNow += counts.failovers();
            clearsNow += counts.clears();
        }
        return new FleetMetrics(judge.known(), faults, judge.lost(), judge.misordered(), judge.twice(), judge.stale(),
                judge.late(), judge.longestUs() / 1000, looks == 0 ? 0 : 100 * provenLooks / looks, torn, failoversNow,
                clearsNow, judge.first(), digest.getValue());
    }

    /** True time. */
    public long nowUs() {
        return world.nowUs();
    }

    /** The task of a machine, as it runs or ran last. */
    public EventLogTask task(int machine) {
        return tasks[machine];
    }

    /** The machine of a director. */
    public static int machine(int director) {
        return REPLICAS + director;
    }

    /** What a machine has sent and been sent so far. */
    public Traffic traffic(int machine) {
        return traffic[machine];
    }

    /** Whether a director that is up calls what it holds proven. */
    public boolean proven(int director) {
        int machine = machine(director);
        return world.machine(machine).up() && tasks[machine].proven(world.machine(machine).clock());
    }

    /** The replica that leads and is up, or -1. */
    public int leader() {
        return IntStream.range(0, REPLICAS).filter(i -> world.machine(i).up() && tasks[i].leads()).findFirst()
                .orElse(-1);
    }

    /** Starts a machine that is down. */
    public void start(int machine) {
        Random own = new Random(world.random().nextLong());
        List<Integer> replicas = IntStream.range(0, REPLICAS).boxed().toList();
        Membership place = new Membership(machine, world.size(), replicas, EventLogTiming.DEFAULT, KEY);
        EventLogTask.Link link = (to, bytes) -> send(machine, to, bytes);
        ReplicaLimits bounds = new ReplicaLimits(new EventLog.Bounds(size.retentionBytes(), MOST_SESSIONS),
                ReplicaFeed.Bounds.DEFAULT, SNAPSHOT_EVERY);
        if (machine >= REPLICAS) {
            judge.started(machine - REPLICAS, world.nowUs());
        }
        world.machine(machine).start(clock -> {
            tasks[machine] = machine < REPLICAS
                    ? EventLogTask.replica(place, bounds, storages[machine], own, link, clock)
                    : EventLogTask.director(place, own, link, listener(machine - REPLICAS), clock);
            return tasks[machine];
        });
    }

    private Listener listener(int director) {
        return new Listener() {
            @Override
            public void delivered(Delivery delivery) {
                digest.update((director + ":" + delivery + "@" + world.nowUs()).getBytes(StandardCharsets.US_ASCII));
                judge.delivered(director, delivery, world.nowUs());
            }

            @Override
            public void proven(long untilUs) {}
        };
    }

    /** A datagram leaves a machine. */
    public void send(int from, int to, byte[] bytes) {
        if (from < REPLICAS && storages[from].crashed() || !leavesBeforeDeath(from)) {
            return;
        }
        tap.sent(from, to, bytes);
        traffic[from] = traffic[from].out(bytes.length + HEADERS);
        traffic[to] = traffic[to].in(bytes.length + HEADERS);
        world.send(from, to, new EventLogTaskMessage.DatagramReceived(bytes));
    }

    private boolean leavesBeforeDeath(int machine) {
        Integer left = dying.get(machine);
        if (left == null) {
            return true;
        }
        dying.put(machine, left - 1);
        if (left == 1) {
            world.at(world.nowUs(), () -> kill(machine));
        }
        return left > 0;
    }

    /** From now on a machine sends so many datagrams, at least one, and dies. */
    public void dieAfterSending(int machine, int datagrams) {
        dying.put(machine, datagrams);
    }

    /** A replica dies while it writes the so-manieth chunk of a snapshot from now on. */
    public void dieAtSnapshotChunk(int replica, int chunk) {
        storages[replica].crashAtChunk(chunk, chance, () -> world.at(world.nowUs(), () -> kill(replica)));
    }

    /** Has each datagram that leaves a machine seen. */
    public void tap(DatagramListener seen) {
        tap = seen;
    }

    /** Kills a machine; a replica's disk keeps what was flushed, and maybe some of the rest. */
    public void kill(int machine) {
        if (!world.machine(machine).alive()) {
            return;
        }
        world.machine(machine).kill();
        dying.remove(machine);
        if (machine < REPLICAS) {
            storages[machine].crash(chance);
            storages[machine].restart();
        } else {
            failovers += tasks[machine].followerCounts().failovers();
            clears += tasks[machine].followerCounts().clears();
        }
    }

    /** A replica that is down loses its disk. */
    public void loseDisk(int replica) {
        storages[replica].lose();
    }

    /** A machine stands still for a while. */
    public void pause(int machine, long forUs) {
        world.machine(machine).stop(forUs);
    }

    /** Cuts or mends the way from one machine to another, and not the way back. */
    public void cut(int from, int to, boolean off) {
        cut[from][to] = off;
        world.cut(from, to, off);
    }

    /** Cuts or mends both ways between all of one set of machines and all others. */
    public void isolate(List<Integer> machines, boolean off) {
        for (int one : machines) {
            for (int other = 0; other < world.size(); other++) {
                if (!machines.contains(other)) {
                    cut(one, other, off);
                    cut(other, one, off);
                }
            }
        }
    }

    /** Has something done at a time. */
    public void at(long atUs, Runnable what) {
        world.at(atUs, what);
    }

    /** A director appends events, each of its own; the judge hears of the acknowledgement. */
    public void append(int director, int count) {
        int machine = machine(director);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            eventsMade++; // the detail makes each event different
            events.add(new Event(new Subject(Kind.OBJECT_PURGE, chance.nextInt(size.subjects())),
                    world.nowUs() / 1000, Integer.toString(eventsMade)));
        }
        if (world.machine(machine).alive()) {
            world.machine(machine).hand(new EventLogTaskMessage.AppendRequested(events, answer -> {
                if (answer != null && answer.outcome() == AppendOutcome.APPENDED) {
                    judge.acknowledged(events, answer.last(), world.nowUs());
                }
            }));
        }
    }

    private void append() {
        append(chance.nextInt(size.directors()), 1);
    }

    /** Events are appended at some director, so many a second, until a time. */
    public void appendEvenly(double eventsPerSecond, long untilUs) {
        every(1 / eventsPerSecond, untilUs, this::append);
    }

    /** Lets time pass up to a moment, while the judge looks. */
    public void run(long untilUs) {
        for (long at = world.nowUs() + LOOK_US; at <= untilUs; at += LOOK_US) {
            world.run(at);
            for (int i = 0; i < size.directors(); i++) {
                boolean proven = proven(i);
                looks++;
                provenLooks += proven ? 1 : 0;
                judge.look(i, proven, reachable(machine(i)), at);
            }
        }
    }

    /** Whether a director is up, and so is a voter that it reaches, and that reaches two further voters that are up. */
    private boolean reachable(int machine) {
        if (!world.machine(machine).up()) {
            return false;
        }
        return IntStream.range(0, REPLICAS).anyMatch(one -> linked(machine, one)
                && IntStream.range(0, REPLICAS).filter(other -> linked(one, other)).count() >= 3);
    }

    private boolean linked(int one, int other) {
        return world.machine(other).up() && tasks[other].votes() && !cut[one][other] && !cut[other][one];
    }

    private void every(double seconds, long until, Runnable what) {
        if (seconds > 0) {
            long next = world.nowUs() + (long) (seconds * SECOND_US * (0.5 + chance.nextDouble()));
            if (next < until) {
                world.at(next, () -> {
                    what.run();
                    every(seconds, until, what);
                });
            }
        }
    }

    private void fault() {
        faults++;
        int which = chance.nextInt(3) > 0 ? chance.nextInt(REPLICAS) : chance.nextInt(world.size());
        long lastsUs = (long) (chance.nextDouble() * chance.nextDouble() * 20 * SECOND_US);
        long until = world.nowUs() + lastsUs;
        switch (chance.nextInt(9)) {
            case 0, 1 -> killFor(which, lastsUs, false);
            case 2 -> killFor(which, lastsUs, true);
            case 3 -> pause(which, lastsUs);
            case 4 -> IntStream.range(0, world.size()).forEach(other -> cutUntil(which, other, until, false));
            case 5 -> IntStream.range(0, world.size()).forEach(other -> cutUntil(which, other, until, true));
            case 6 -> split(until);
            case 7 -> {
                int replica = which % REPLICAS;
                dieAtSnapshotChunk(replica, 1 + chance.nextInt(8));
                world.at(until + 10 * SECOND_US, () -> startIfDown(replica));
            }
            default -> {
                world.links(0.4, 200_000);
                world.at(until, () -> world.links(size.loss(), size.wayUs()));
            }
        }
    }

    private void split(long until) {
        boolean[] side = new boolean[world.size()];
        IntStream.range(0, side.length).forEach(i -> side[i] = chance.nextBoolean());
        for (int i = 0; i < side.length; i++) {
            for (int j = 0; j < side.length; j++) {
                if (side[i] && !side[j]) {
                    cutUntil(i, j, until, true);
                }
            }
        }
    }

    private void cutUntil(int one, int other, long until, boolean bothWays) {
        cut(one, other, true);
        cut(other, one, bothWays);
        world.at(until, () -> {
            cut(one, other, false);
            cut(other, one, false);
        });
    }

    /** Of the replicas one at most, the first, loses its disk: the log promises nothing for more at a time. */
    private void killFor(int machine, long forUs, boolean losesDisk) {
        if (!world.machine(machine).alive()) {
            return;
        }
        kill(machine);
        if (losesDisk && machine == 0) {
            loseDisk(machine);
        }
        world.at(world.nowUs() + forUs, () -> startIfDown(machine));
    }

    private void startIfDown(int machine) {
        if (!world.machine(machine).alive()) {
            start(machine);
        }
    }

    private void calm() {
        world.mend();
        for (boolean[] from : cut) {
            Arrays.fill(from, false);
        }
        world.links(size.loss(), size.wayUs());
        for (int i = 0; i < REPLICAS; i++) {
            storages[i].crashAtChunk(Integer.MAX_VALUE, chance, () -> {});
        }
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
