package clovermill.simulation.emulator;

import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.simulation.emulator.EmulatedCache.Transfer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One run of a {@link Plan}. Time advances in steps of 5 ms. In each step every transfer progresses at the rate that
 * its cache and, for a fill, the location's link allow; events within a step run in order of due time. Deterministic:
 * nothing depends on the system clock or on hash table order. Not thread-safe.
 */
public final class Emulation {

    static final long STEP_US = 5_000;
    static final long SECOND_US = 1_000_000;
    /** Start of the emulated clock: well above 0, because a start time of 0 marks a cache that started long ago. */
    private static final long EPOCH_US = 100_000_000;
    /** Maximum rate of a fill, relative to that of a transfer to a client. */
    private static final double MAX_FILL_RATE = 2.5;

    private final Plan plan;
    private final Workload workload;
    private final SplittableRandom random;
    private final EventQueue events = new EventQueue();
    private final Map<String, EmulatedCache> caches = new TreeMap<>();
    private final List<EmulatedDirector> directors = new ArrayList<>();
    private final FleetMetrics metrics;
    private final double linkCapacity;
    private long now = EPOCH_US;
    private int joinedCaches;
    private boolean reportsFrozen;
    private int activeFills;

    private Emulation(Plan plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        this.metrics = new FleetMetrics(plan.settle());
        double totalCapacity = plan.directors() * plan.perDirector() * plan.workMs() / 1000 / plan.load();
        this.linkCapacity = Math.max(1, plan.link() * totalCapacity);
        this.workload = new Workload(plan, linkCapacity);
        for (int i = 0; i < plan.caches(); i++) {
            add(cache("cache-" + i, totalCapacity / plan.caches() * (i % 2 == 0 ? 0.7 : 1.3), 0));
        }
        for (int i = 0; i < plan.directors(); i++) {
            EmulatedDirector director = new EmulatedDirector(i, this);
            directors.add(director);
            director.start();
            director.firstArrival(now + (long) (random.nextDouble() * SECOND_US));
        }
        plan.faults().forEach(this::schedule);
        for (EmulatedCache cache : List.copyOf(caches.values())) {
            scheduleReports(cache);
        }
    }

    /** Simulates a plan; the same seed gives the same run. Throws if the plan is invalid. */
    public static FleetMetrics simulate(Plan plan, long seed) throws Plan.InvalidPlanException {
        plan.check();
        Emulation emulation = new Emulation(plan, seed);
        for (int second = 0; second < plan.seconds(); second++) {
            emulation.runSecond(second);
        }
        return emulation.metrics;
    }

    // ---- Accessors for directors ----------------------------------------------------------------------

    Plan plan() {
        return plan;
    }

    Workload workload() {
        return workload;
    }

    SplittableRandom random() {
        return random;
    }

    FleetMetrics metrics() {
        return metrics;
    }

    EmulatedCache cache(String id) {
        return caches.get(id);
    }

    /** Returns whether load reports are frozen now by a fault of the plan. */
    boolean reportsFrozen() {
        return reportsFrozen;
    }

    // ---- Time -------------------------------------------------------------------------------------

    /** Schedules an action. */
    void at(long atUs, Runnable action) {
        events.add(atUs, action);
    }

    /** Returns the time of the emulated clock, in microseconds. */
    long now() {
        return now;
    }

    private void runSecond(int second) {
        for (long until = now + SECOND_US; now < until;) {
            now += STEP_US;
            events.runUntil(now);
            stepTransfers();
        }
        Map<String, Double> loads = new TreeMap<>();
        for (EmulatedCache cache : caches.values()) {
            double load = cache.load(now, SECOND_US);
            if (!cache.draining && !cache.cold(now)) {
                loads.put(cache.id, load);
            }
        }
        metrics.second(second, loads);
    }

    /** Advances every transfer by one step. */
    private void stepTransfers() {
        double link = Math.min(MAX_FILL_RATE, linkCapacity / Math.max(1, activeFills));
        activeFills = 0;
        for (EmulatedCache cache : List.copyOf(caches.values())) {
            List<Transfer> done = cache.step(now, STEP_US, link);
            activeFills += cache.activeFills;
            done.forEach(transfer -> transfer.done.run());
        }
    }

    // ---- Caches -----------------------------------------------------------------------------------

    private EmulatedCache cache(String id, double capacity, long startedUs) {
        double capacityFactor = 0.85 + 0.3 * random.nextDouble();
        return new EmulatedCache(id, Math.max(1, Math.round(capacity)), Math.max(1, capacity) * capacityFactor,
                startedUs,
                random.nextDouble(), plan.keeps(), Workload.SLOW_START);
    }

    private void add(EmulatedCache cache) {
        caches.put(cache.id, cache);
    }

    private void scheduleReports(EmulatedCache cache) {
        long periodUs = plan.reports().periodMs() * 1000L;
        at(now + (long) (periodUs * cache.phase), () -> report(cache));
    }

    private void report(EmulatedCache cache) {
        double noise = plan.reports().noise() * (2 * random.nextDouble() - 1);
        cache.report(now, plan.reports().delayMs() * 1000L, noise, activeFills / linkCapacity);
        if (caches.get(cache.id) == cache) {
            at(now + plan.reports().periodMs() * 1000L, () -> report(cache));
        }
    }

    private void schedule(Plan.Fault fault) {
        long from = now + (long) (fault.at() * SECOND_US);
        long until = from + (long) (fault.lasts() * SECOND_US);
        String id = "cache-" + fault.which();
        switch (fault.kind()) {
            case "freeze" -> {
                at(from, () -> reportsFrozen = true);
                at(until, () -> reportsFrozen = false);
            }
            case "mute" -> {
                at(from, () -> caches.get(id).reportsSuppressed = true);
                at(until, () -> caches.get(id).reportsSuppressed = false);
            }
            case "slow" -> {
                at(from, () -> caches.get(id).speedFactor = fault.factor());
                at(until, () -> caches.get(id).speedFactor = 1);
            }
            case "join" -> at(from, this::join);
            case "leave" -> at(from, () -> {
                caches.get(id).draining = true;
                announce(caches.get(id), Availability.DRAINING);
            });
            default -> {
                at(from, directors.get(fault.which())::stop);
                at(until, directors.get(fault.which())::start);
            }
        }
    }

    private void join() {
        double mean = caches.values().stream().mapToDouble(cache -> cache.declaredCapacity).average().orElse(1);
        EmulatedCache cache = cache("joined-" + joinedCaches++, mean, now);
        add(cache);
        scheduleReports(cache);
        announce(cache, Availability.HEALTHY);
    }

    /** Notifies every director of a change of the member list, each after a random delay of up to some seconds. */
    private void announce(EmulatedCache cache, Availability state) {
        MembersChanged change = new MembersChanged(ListScope.CHANGES, List.of(member(cache, state)));
        for (EmulatedDirector director : directors) {
            at(now + (long) ((0.5 + 2 * random.nextDouble()) * SECOND_US), () -> director.handle(change));
        }
    }

    private static Member member(EmulatedCache cache, Availability state) {
        return new Member(cache.id, 1, 0, 0, state, cache.declaredCapacity, cache.startedUs);
    }

    /** Returns the full member list, as a director receives it when it starts. */
    MembersChanged allMembers() {
        List<Member> all = new ArrayList<>();
        caches.values().forEach(cache -> all.add(member(cache,
                cache.draining ? Availability.DRAINING : Availability.HEALTHY)));
        for (int i = 0; i < 3; i++) {
            all.add(new Member("hub-" + i, 0, 1, 100 + i, Availability.HEALTHY, linkCapacity, 0));
        }
        all.add(new Member("origin", 0, 2, 200, Availability.HEALTHY, linkCapacity, 0));
        return new MembersChanged(ListScope.FULL, all);
    }
}
