package clovermill.simulation.emulator;

import clovermill.routing.RequestRouter;
import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.Event;
import clovermill.routing.api.Fail;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.TimerExpired;
import clovermill.simulation.emulator.EmulatedCache.Transfer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** One director of an {@link Emulation}: its router, the requests that it has open, and its clients. */
final class EmulatedDirector {

    /** A request of a client, and how to cancel each open attempt. */
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

    /** How long a fill waits for its first byte. */
    private static final double FILL_LATENCY_US = 30_000;

    private final Emulation emulation;
    private final Plan plan;
    private final Workload workload;
    private final SplittableRandom random;
    private final FleetMetrics metrics;
    private final int number;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private CacheRouter router;
    private long nextArrivalUs;
    private int requestCount;
    private int starts;

    EmulatedDirector(int number, Emulation emulation) {
        this.number = number;
        this.emulation = emulation;
        this.plan = emulation.plan();
        this.workload = emulation.workload();
        this.random = emulation.random();
        this.metrics = emulation.metrics();
    }

    /** Starts its process, which knows nothing but the list of members. */
    void start() {
        long seed = random.nextLong();
        starts++;
        router = switch (plan.choice()) {
            case "least" -> new LeastLoadedRouter(seed, Integer.MAX_VALUE);
            case "two" -> new LeastLoadedRouter(seed, 2);
            default -> new RequestRouter(workload.settings(), seed);
        };
        handle(emulation.allMembers());
    }

    /** Kills its process; all open requests fail with it. */
    void stop() {
        router = null;
        List.copyOf(calls.values()).forEach(call -> {
            metrics.failed += call.over ? 0 : 1;
            call.over = true;
            List.copyOf(call.attempts.values()).forEach(Runnable::run);
        });
        calls.clear();
    }

    /** Has its first request arrive at a time; each schedules the next. */
    void firstArrival(long atUs) {
        nextArrivalUs = atUs;
        emulation.at(atUs, this::arrive);
    }

    private void arrive() {
        nextArrivalUs += (long) (-Math.log(1 - random.nextDouble()) / workload.requestsPerSecond(number)
                * Emulation.SECOND_US);
        emulation.at(nextArrivalUs, this::arrive);
        metrics.requests++;
        if (router == null) {
            metrics.failed++;
            return;
        }
        double workUs = plan.workMs() * 1000 * Math.min(10, -Math.log(1 - random.nextDouble()));
        long object = workload.nextObject(random);
        Request request =
                new Request(number + "-" + starts + "-" + requestCount++, 0, 0, object, 0, (int) (object & 255),
                        Math.max(1, workUs * Workload.PACE_KB_PER_S / 1e6), Workload.DEADLINE_US, false);
        long aimUs = Math.min(Workload.DEADLINE_US, 500_000 + (long) (2 * workUs));
        calls.put(request.id(), new Call(request, emulation.now(), aimUs));
        handle(request);
    }

    /** Passes an event to its router and executes the actions; ignored while the process is stopped. */
    void handle(Event event) {
        if (router != null) {
            List<Action> actions = new ArrayList<>();
            router.handle(emulation.now(), event, actions::add);
            actions.forEach(this::execute);
        }
    }

    private void execute(Action action) {
        if (action instanceof SendVia via) {
            send(calls.get(via.request()), via.member(), via.timeoutUs(), !via.source().equals(via.member()),
                    via.rank() > 0);
        } else if (action instanceof Send plain) {
            send(calls.get(plain.request()), plain.member(), plain.timeoutUs(), false, false);
        } else if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Reject reject) {
            end(calls.get(reject.request()));
            metrics.refused++;
        } else if (action instanceof Fail fail) {
            end(calls.get(fail.request()));
            metrics.failed++;
        } else if (action instanceof SetTimer timer) {
            setTimer(timer);
        }
    }

    private void cancel(Cancel cancel) {
        Call call = calls.get(cancel.request());
        Runnable attempt = call == null ? null : call.attempts.get(cancel.attempt());
        if (attempt != null) {
            attempt.run();
        }
    }

    /** A timer of a process that was killed meanwhile does not fire. */
    private void setTimer(SetTimer timer) {
        CacheRouter owner = router;
        emulation.at(emulation.now() + timer.delayUs(), () -> {
            if (router == owner) {
                handle(new TimerExpired(timer.token()));
            }
        });
    }

    private void end(Call call) {
        call.over = true;
        if (call.attempts.isEmpty()) {
            calls.remove(call.request.id());
        }
    }

    private void send(Call call, String member, long timeoutUs, boolean fills, boolean keeps) {
        int index = call.sent++;
        long sentUs = emulation.now();
        EmulatedCache cache = emulation.cache(member);
        double workUs = call.request.sizeKb() / Workload.PACE_KB_PER_S * 1e6;
        call.attempts.put(index, () -> ended(call, index, cache, Result.CANCELLED, sentUs, false));
        if (cache.overloadedWhileCold(emulation.now(), workUs)) {
            metrics.overruns++;
        }
        if (cache.full() || cache.failed) {
            endInNextStep(
                    () -> ended(call, index, cache, cache.failed ? Result.CONNECT_FAILED : Result.REJECTED, sentUs,
                            false));
            return;
        }
        boolean hit = cache.lookUp(call.request.object(), keeps && fills);
        if (!hit && !fills) {
            endInNextStep(() -> ended(call, index, cache, Result.MISS, sentUs, false));
            return;
        }
        startTransfer(call, index, cache, workUs, sentUs, timeoutUs, hit);
    }

    private void startTransfer(Call call, int index, EmulatedCache cache, double workUs, long sentUs, long timeoutUs,
            boolean hit) {
        Transfer transfer = new Transfer(() -> ended(call, index, cache, Result.OK, sentUs, hit), !hit, workUs,
                hit ? 0 : FILL_LATENCY_US);
        cache.open.add(transfer);
        call.attempts.put(index, () -> {
            cache.open.remove(transfer);
            ended(call, index, cache, Result.CANCELLED, sentUs, false);
        });
        emulation.at(emulation.now() + timeoutUs, () -> {
            if (cache.open.remove(transfer)) {
                ended(call, index, cache, Result.TIMED_OUT, sentUs, false);
            }
        });
    }

    private void endInNextStep(Runnable end) {
        emulation.at(emulation.now() + Emulation.STEP_US, end);
    }

    private void answer(Call call, boolean hit) {
        boolean inTime = emulation.now() - call.takenUs <= call.aimUs;
        call.over = true;
        metrics.answered++;
        metrics.hits += hit ? 1 : 0;
        metrics.inTime += inTime ? 1 : 0;
        metrics.late += inTime ? 0 : 1;
    }

    /** An attempt has ended: answers the client if it succeeded, and reports the outcome to the router. */
    private void ended(Call call, int index, EmulatedCache cache, Result result, long sentUs, boolean hit) {
        if (call.attempts.remove(index) == null || calls.get(call.request.id()) != call) {
            return;
        }
        if (result == Result.OK && !call.over) {
            answer(call, hit);
        }
        boolean reports = !plan.choice().equals("guess") && result == Result.OK
                && random.nextDouble() >= plan.reports().loss();
        LoadReport load = reports ? cache.visibleReport(emulation.now(), emulation.reportsFrozen()) : null;
        handle(new AttemptEnded(call.request.id(), index, cache.id, result, emulation.now() - sentUs, call.over,
                result != Result.OK ? CacheStatus.NONE : hit ? CacheStatus.HIT : CacheStatus.FILLED, 0, load));
        if (call.over && call.attempts.isEmpty()) {
            calls.remove(call.request.id());
        }
        if (!call.over && emulation.now() - call.takenUs >= Workload.DEADLINE_US) {
            end(call);
            metrics.failed++;
            handle(new RequestCancelled(call.request.id()));
        }
    }
}
