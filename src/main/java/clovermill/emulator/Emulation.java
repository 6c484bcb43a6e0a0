package clovermill.emulator;

import clovermill.CacheRouter.Action;
import clovermill.CacheRouter.Availability;
import clovermill.CacheRouter.Cancel;
import clovermill.CacheRouter.ClientGone;
import clovermill.CacheRouter.ColdRule;
import clovermill.CacheRouter.Effect;
import clovermill.CacheRouter.Event;
import clovermill.CacheRouter.Fail;
import clovermill.CacheRouter.KeyScope;
import clovermill.CacheRouter.ListScope;
import clovermill.CacheRouter.LoadReport;
import clovermill.CacheRouter.Member;
import clovermill.CacheRouter.Members;
import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Outcome;
import clovermill.CacheRouter.Permissions;
import clovermill.CacheRouter.Refuse;
import clovermill.CacheRouter.Request;
import clovermill.CacheRouter.RequestClass;
import clovermill.CacheRouter.Result;
import clovermill.CacheRouter.Send;
import clovermill.CacheRouter.SendVia;
import clovermill.CacheRouter.SetTimer;
import clovermill.CacheRouter.Settings;
import clovermill.CacheRouter.Siblings;
import clovermill.CacheRouter.Telling;
import clovermill.CacheRouter.Timer;
import clovermill.CacheRouter;
import clovermill.emulator.EmulatedCache.Transfer;
import clovermill.module.Policy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One run of a {@link Plan}. Time moves in steps of 5 ms, in which every transfer goes on at the pace that its cache
 * and, for a fill, the location's link leave it; all that happens in a step happens in the order in which it was due.
 * Not thread-safe, and nothing in it depends on the clock or on the order of a hash table.
 */
public final class Emulation {

    private static final long STEP_US = 5_000;
    private static final long SECOND_US = 1_000_000;
    /** Start of the emulated clock: any time long after 0, which stands for a start long ago. */
    private static final long EPOCH_US = 100_000_000;
    private static final double PACE_KB_PER_S = 10_000;
    /** How much faster than to a client a fill may run. */
    private static final double FILL_PACE = 2.5;
    private static final long DEADLINE_US = 6_000_000;
    private static final ColdRule COLD = new ColdRule(0.25, 15_000_000, 3, 3_000_000);

    private final Plan plan;
    private final Settings settings;
    private final SplittableRandom random;
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private final Map<String, EmulatedCache> caches = new TreeMap<>();
    private final List<EmulatedDirector> directors = new ArrayList<>();
    private final Tally tally;
    private final double linkRoom;
    private final double[] popularity;
    private final double[] shares;
    private long now = EPOCH_US;
    private long order;
    private int joined;
    private boolean frozen;
    private int filling;

    private record Due(long atUs, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private Emulation(Plan plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        this.tally = new Tally(plan.settle());
        double all = plan.directors() * plan.perDirector() * plan.workMs() / 1000 / plan.load();
        this.linkRoom = Math.max(1, plan.link() * all);
        this.settings = settings(plan, linkRoom);
        this.popularity = popularity(plan.objects(), plan.zipf());
        this.shares = shares(plan);
        for (int i = 0; i < plan.caches(); i++) {
            add(cache("cache-" + i, all / plan.caches() * (i % 2 == 0 ? 0.7 : 1.3), 0));
        }
        for (int i = 0; i < plan.directors(); i++) {
            EmulatedDirector director = new EmulatedDirector(i);
            directors.add(director);
            director.start();
            director.nextUs = now + (long) (random.nextDouble() * SECOND_US);
            at(director.nextUs, director::arrive);
        }
        plan.faults().forEach(this::schedule);
        for (EmulatedCache cache : List.copyOf(caches.values())) {
            reporting(cache);
        }
    }

    /** Plays a plan, which has to be usable; the same seed gives the same run. */
    public static Tally play(Plan plan, long seed) throws Plan.Unusable {
        plan.check();
        Emulation emulation = new Emulation(plan, seed);
        for (int second = 0; second < plan.seconds(); second++) {
            emulation.second(second);
        }
        return emulation.tally;
    }

    private static Settings settings(Plan plan, double linkRoom) {
        RequestClass read = new RequestClass(500_000, 2, DEADLINE_US, 1, 0.15, Effect.IDEMPOTENT, KeyScope.ALL,
                SECOND_US, false, false, false, 0, 0, 1);
        Permissions allowed = new Permissions(false, false, true, true, false, false, 6, 100_000, 500_000);
        return new Settings(0, plan.directors(), 1, List.of(read), List.of(0, plan.directors()), List.of(0, 0), 1, 2,
                PACE_KB_PER_S, true, Siblings.NONE, Telling.HITS, COLD, COLD, 250_000, 8_000, 500_000, 6_000_000,
                400_000, false, 10_000_000, 0, 0, linkRoom * PACE_KB_PER_S, allowed);
    }

    private static double[] popularity(int objects, double zipf) {
        double[] sums = new double[objects];
        double sum = 0;
        for (int i = 0; i < objects; i++) {
            sum += Math.pow(i + 1, -zipf);
            sums[i] = sum;
        }
        for (int i = 0; i < objects; i++) {
            sums[i] /= sum;
        }
        return sums;
    }

    /** Requests a second of each director; all together are as many as without skew. */
    private static double[] shares(Plan plan) {
        double unit = plan.directors() * plan.perDirector() / (plan.skew() + plan.directors() - 1);
        double[] shares = new double[plan.directors()];
        Arrays.fill(shares, unit);
        shares[0] = plan.skew() * unit;
        return shares;
    }

    // ---- Time -------------------------------------------------------------------------------------

    private void at(long atUs, Runnable what) {
        dues.add(new Due(atUs, order++, what));
    }

    private void second(int second) {
        for (long until = now + SECOND_US; now < until;) {
            now += STEP_US;
            while (!dues.isEmpty() && dues.peek().atUs <= now) {
                dues.poll().what.run();
            }
            flow();
        }
        Map<String, Double> loads = new TreeMap<>();
        for (EmulatedCache cache : caches.values()) {
            double load = cache.load(now, SECOND_US);
            if (!cache.leaves && !cache.cold(now)) {
                loads.put(cache.id, load);
            }
        }
        tally.second(second, loads);
    }

    /** One step of every transfer. */
    private void flow() {
        double link = Math.min(FILL_PACE, linkRoom / Math.max(1, filling));
        filling = 0;
        for (EmulatedCache cache : List.copyOf(caches.values())) {
            List<Transfer> done = cache.step(now, STEP_US, link);
            filling += cache.flowingFills;
            done.forEach(transfer -> transfer.done.run());
        }
    }

    // ---- Caches -----------------------------------------------------------------------------------

    private EmulatedCache cache(String id, double room, long startedUs) {
        double speed = 0.85 + 0.3 * random.nextDouble();
        return new EmulatedCache(id, Math.max(1, Math.round(room)), Math.max(1, room) * speed, startedUs,
                random.nextDouble(), plan.keeps(), COLD);
    }

    private void add(EmulatedCache cache) {
        caches.put(cache.id, cache);
    }

    private void reporting(EmulatedCache cache) {
        long periodUs = plan.reports().periodMs() * 1000L;
        at(now + (long) (periodUs * cache.phase), () -> report(cache));
    }

    private void report(EmulatedCache cache) {
        double noise = plan.reports().noise() * (2 * random.nextDouble() - 1);
        cache.report(now, plan.reports().delayMs() * 1000L, noise, filling / linkRoom);
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
                at(from, () -> frozen = true);
                at(until, () -> frozen = false);
            }
            case "mute" -> {
                at(from, () -> caches.get(id).mute = true);
                at(until, () -> caches.get(id).mute = false);
            }
            case "slow" -> {
                at(from, () -> caches.get(id).pace = fault.factor());
                at(until, () -> caches.get(id).pace = 1);
            }
            case "join" -> at(from, this::join);
            case "leave" -> at(from, () -> {
                caches.get(id).leaves = true;
                announce(caches.get(id), Availability.DRAINING);
            });
            default -> {
                at(from, directors.get(fault.which())::stop);
                at(until, directors.get(fault.which())::start);
            }
        }
    }

    private void join() {
        double mean = caches.values().stream().mapToDouble(cache -> cache.toldRoom).average().orElse(1);
        EmulatedCache cache = cache("joined-" + joined++, mean, now);
        add(cache);
        reporting(cache);
        announce(cache, Availability.HEALTHY);
    }

    /** The list tells every director, each at a time of its own, some seconds late. */
    private void announce(EmulatedCache cache, Availability state) {
        Members news = new Members(ListScope.CHANGES, List.of(member(cache, state)));
        for (EmulatedDirector director : directors) {
            at(now + (long) ((0.5 + 2 * random.nextDouble()) * SECOND_US), () -> director.tell(news));
        }
    }

    private static Member member(EmulatedCache cache, Availability state) {
        return new Member(cache.id, 1, 0, 0, state, cache.toldRoom, cache.startedUs);
    }

    private Members everybody() {
        List<Member> all = new ArrayList<>();
        caches.values().forEach(cache -> all.add(member(cache,
                cache.leaves ? Availability.DRAINING : Availability.HEALTHY)));
        for (int i = 0; i < 3; i++) {
            all.add(new Member("hub-" + i, 0, 1, 100 + i, Availability.HEALTHY, linkRoom, 0));
        }
        all.add(new Member("origin", 0, 2, 200, Availability.HEALTHY, linkRoom, 0));
        return new Members(ListScope.FULL, all);
    }

    // ---- Directors --------------------------------------------------------------------------------

    /** A request that this director has taken. */
    private static final class Call {
        final Request request;
        final long takenUs;
        final long aimUs;
        final Map<Integer, Runnable> attempts = new TreeMap<>();
        int sent;
        boolean over;

        Call(Request request, long takenUs, long aimUs) {
            this.request = request;
            this.takenUs = takenUs;
            this.aimUs = aimUs;
        }
    }

    /** A director: its router, the requests that it has open, and its clients. */
    private final class EmulatedDirector {
        private final int number;
        private final Map<String, Call> calls = new LinkedHashMap<>();
        private CacheRouter router;
        private long nextUs;
        private int asked;
        private int starts;

        EmulatedDirector(int number) {
            this.number = number;
        }

        void start() {
            long seed = random.nextLong();
            starts++;
            router = switch (plan.choice()) {
                case "least" -> new ReportedChoice(seed, Integer.MAX_VALUE);
                case "two" -> new ReportedChoice(seed, 2);
                default -> new Policy(settings, seed);
            };
            tell(everybody());
        }

        /** All that it had open is lost with it. */
        void stop() {
            router = null;
            List.copyOf(calls.values()).forEach(call -> {
                tally.failed += call.over ? 0 : 1;
                call.over = true;
                List.copyOf(call.attempts.values()).forEach(Runnable::run);
            });
            calls.clear();
        }

        void arrive() {
            nextUs += (long) (-Math.log(1 - random.nextDouble()) / shares[number] * SECOND_US);
            at(nextUs, this::arrive);
            tally.asked++;
            if (router == null) {
                tally.failed++;
                return;
            }
            double workUs = plan.workMs() * 1000 * Math.min(10, -Math.log(1 - random.nextDouble()));
            int rank = Arrays.binarySearch(popularity, random.nextDouble());
            long object = 0x5DEECE66DL * (rank < 0 ? -rank - 1 : rank) + 11;
            Request request = new Request(number + "-" + starts + "-" + asked++, 0, 0, object, 0, (int) (object & 255),
                    Math.max(1, workUs * PACE_KB_PER_S / 1e6), DEADLINE_US, false);
            calls.put(request.id(), new Call(request, now, Math.min(DEADLINE_US, 500_000 + (long) (2 * workUs))));
            tell(request);
        }

        void tell(Event event) {
            if (router != null) {
                List<Action> actions = new ArrayList<>();
                router.handle(now, event, actions::add);
                actions.forEach(this::carryOut);
            }
        }

        private void carryOut(Action action) {
            if (action instanceof SendVia via) {
                send(calls.get(via.request()), via.member(), via.timeoutUs(), !via.source().equals(via.member()),
                        via.rank() > 0);
            } else if (action instanceof Send plain) {
                send(calls.get(plain.request()), plain.member(), plain.timeoutUs(), false, false);
            } else if (action instanceof Cancel cancel) {
                Call call = calls.get(cancel.request());
                Runnable attempt = call == null ? null : call.attempts.get(cancel.attempt());
                if (attempt != null) {
                    attempt.run();
                }
            } else if (action instanceof Refuse refuse) {
                end(calls.get(refuse.request()));
                tally.refused++;
            } else if (action instanceof Fail fail) {
                end(calls.get(fail.request()));
                tally.failed++;
            } else if (action instanceof SetTimer timer) {
                CacheRouter set = router;
                at(now + timer.delayUs(), () -> {
                    if (router == set) {
                        tell(new Timer(timer.token()));
                    }
                });
            }
        }

        private void end(Call call) {
            call.over = true;
            if (call.attempts.isEmpty()) {
                calls.remove(call.request.id());
            }
        }

        private void send(Call call, String member, long timeoutUs, boolean fills, boolean keeps) {
            int index = call.sent++;
            long sentUs = now;
            EmulatedCache cache = caches.get(member);
            double workUs = call.request.sizeKb() / PACE_KB_PER_S * 1e6;
            call.attempts.put(index, () -> ended(call, index, cache, Result.CANCELLED, sentUs, false));
            if (cache.pushedOver(now, workUs)) {
                tally.overruns++;
            }
            if (cache.full() || cache.fallen) {
                at(now + STEP_US, () -> ended(call, index, cache, cache.fallen ? Result.UNCONNECTED : Result.REFUSED,
                        sentUs, false));
                return;
            }
            boolean hit = cache.look(call.request.object(), keeps && fills);
            if (!hit && !fills) {
                at(now + STEP_US, () -> ended(call, index, cache, Result.MISS, sentUs, false));
                return;
            }
            Transfer transfer = new Transfer(() -> ended(call, index, cache, Result.OK, sentUs, hit), !hit, workUs,
                    hit ? 0 : 30_000);
            cache.open.add(transfer);
            call.attempts.put(index, () -> {
                cache.open.remove(transfer);
                ended(call, index, cache, Result.CANCELLED, sentUs, false);
            });
            at(now + timeoutUs, () -> {
                if (cache.open.remove(transfer)) {
                    ended(call, index, cache, Result.TIMED_OUT, sentUs, false);
                }
            });
        }

        private void ended(Call call, int index, EmulatedCache cache, Result result, long sentUs, boolean hit) {
            if (call.attempts.remove(index) == null || calls.get(call.request.id()) != call) {
                return;
            }
            if (result == Result.OK && !call.over) {
                call.over = true;
                tally.answered++;
                tally.hits += hit ? 1 : 0;
                tally.inTime += now - call.takenUs <= call.aimUs ? 1 : 0;
                tally.late += now - call.takenUs <= call.aimUs ? 0 : 1;
            }
            boolean reports = !plan.choice().equals("guess") && result == Result.OK
                    && random.nextDouble() >= plan.reports().loss();
            LoadReport load = reports ? cache.seen(now, frozen) : null;
            tell(new Outcome(call.request.id(), index, cache.id, result, now - sentUs, call.over,
                    result != Result.OK ? Note.NONE : hit ? Note.HIT : Note.FILLED, 0, load));
            if (call.over && call.attempts.isEmpty()) {
                calls.remove(call.request.id());
            }
            if (!call.over && now - call.takenUs >= DEADLINE_US) {
                end(call);
                tally.failed++;
                tell(new ClientGone(call.request.id()));
            }
        }
    }
}
