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

/** One director of an {@link Emulation}: its router, its open requests, and its clients. */
final class EmulatedDirector {

    /** A client's request, with an action for each open attempt that cancels it. */
    private static final class PendingRequest {
        final Request request;
        final long receivedUs;
        final long targetUs;
        final Map<Integer, Runnable> attempts = new TreeMap<>();
        int attemptCount;
        boolean ended;

        PendingRequest(Request request, long receivedUs, long targetUs) {
            this.request = request;
            this.receivedUs = receivedUs;
            this.targetUs = targetUs;
        }
    }

    /** Time until the first byte of a fill. */
    private static final double FILL_LATENCY_US = 30_000;

    private final Emulation emulation;
    private final Plan plan;
    private final Workload workload;
    private final SplittableRandom random;
    private final FleetMetrics metrics;
    private final int number;
    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
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

    /** Starts its process with no state but the member list. */
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
        List.copyOf(pendingRequests.values()).forEach(pending -> {
            metrics.failed += pending.ended ? 0 : 1;
            pending.ended = true;
            List.copyOf(pending.attempts.values()).forEach(Runnable::run);
        });
        pendingRequests.clear();
    }

    /** Schedules the arrival of the first request; each arrival schedules the next. */
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
                        Math.max(1, workUs * Workload.FULL_RATE_KB_PER_S / 1e6), Workload.DEADLINE_US, false);
        long targetUs = Math.min(Workload.DEADLINE_US, 500_000 + (long) (2 * workUs));
        pendingRequests.put(request.id(), new PendingRequest(request, emulation.now(), targetUs));
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
            send(pendingRequests.get(via.request()), via.member(), via.timeoutUs(), !via.source().equals(via.member()),
                    via.rank() > 0);
        } else if (action instanceof Send plain) {
            send(pendingRequests.get(plain.request()), plain.member(), plain.timeoutUs(), false, false);
        } else if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Reject reject) {
            endRequest(pendingRequests.get(reject.request()));
            metrics.refused++;
        } else if (action instanceof Fail fail) {
            endRequest(pendingRequests.get(fail.request()));
            metrics.failed++;
        } else if (action instanceof SetTimer timer) {
            setTimer(timer);
        }
    }

    private void cancel(Cancel cancel) {
        PendingRequest pending = pendingRequests.get(cancel.request());
        Runnable attempt = pending == null ? null : pending.attempts.get(cancel.attempt());
        if (attempt != null) {
            attempt.run();
        }
    }

    /** Sets a timer, which does not fire if the process is killed meanwhile. */
    private void setTimer(SetTimer timer) {
        CacheRouter owner = router;
        emulation.at(emulation.now() + timer.delayUs(), () -> {
            if (router == owner) {
                handle(new TimerExpired(timer.token()));
            }
        });
    }

    private void endRequest(PendingRequest pending) {
        pending.ended = true;
        if (pending.attempts.isEmpty()) {
            pendingRequests.remove(pending.request.id());
        }
    }

    private void send(PendingRequest pending, String member, long timeoutUs, boolean canFill, boolean cacheAfterFill) {
        int index = pending.attemptCount++;
        long sentUs = emulation.now();
        EmulatedCache cache = emulation.cache(member);
        double workUs = pending.request.sizeKb() / Workload.FULL_RATE_KB_PER_S * 1e6;
        pending.attempts.put(index, () -> attemptEnded(pending, index, cache, Result.CANCELLED, sentUs, false));
        if (cache.overloadedWhileCold(emulation.now(), workUs)) {
            metrics.overruns++;
        }
        if (cache.full() || cache.failed) {
            endInNextStep(
                    () -> attemptEnded(pending, index, cache, cache.failed ? Result.CONNECT_FAILED : Result.REJECTED,
                            sentUs, false));
            return;
        }
        boolean hit = cache.lookUp(pending.request.object(), cacheAfterFill && canFill);
        if (!hit && !canFill) {
            endInNextStep(() -> attemptEnded(pending, index, cache, Result.MISS, sentUs, false));
            return;
        }
        startTransfer(pending, index, cache, workUs, sentUs, timeoutUs, hit);
    }

    private void startTransfer(PendingRequest pending, int index, EmulatedCache cache, double workUs, long sentUs,
            long timeoutUs, boolean hit) {
        Transfer transfer =
                new Transfer(() -> attemptEnded(pending, index, cache, Result.OK, sentUs, hit), !hit, workUs,
                        hit ? 0 : FILL_LATENCY_US);
        cache.open.add(transfer);
        pending.attempts.put(index, () -> {
            cache.open.remove(transfer);
            attemptEnded(pending, index, cache, Result.CANCELLED, sentUs, false);
        });
        emulation.at(emulation.now() + timeoutUs, () -> {
            if (cache.open.remove(transfer)) {
                attemptEnded(pending, index, cache, Result.TIMED_OUT, sentUs, false);
            }
        });
    }

    private void endInNextStep(Runnable end) {
        emulation.at(emulation.now() + Emulation.STEP_US, end);
    }

    private void respond(PendingRequest pending, boolean hit) {
        boolean inTime = emulation.now() - pending.receivedUs <= pending.targetUs;
        pending.ended = true;
        metrics.answered++;
        metrics.hits += hit ? 1 : 0;
        metrics.inTime += inTime ? 1 : 0;
        metrics.late += inTime ? 0 : 1;
    }

    /** Handles the end of an attempt: responds to the client if it succeeded, and passes the outcome to the router. */
    private void attemptEnded(PendingRequest pending, int index, EmulatedCache cache, Result result, long sentUs,
            boolean hit) {
        if (pending.attempts.remove(index) == null || pendingRequests.get(pending.request.id()) != pending) {
            return;
        }
        if (result == Result.OK && !pending.ended) {
            respond(pending, hit);
        }
        boolean reportsLoad = !plan.choice().equals("guess") && result == Result.OK
                && random.nextDouble() >= plan.reports().loss();
        LoadReport load = reportsLoad ? cache.visibleReport(emulation.now(), emulation.reportsFrozen()) : null;
        handle(new AttemptEnded(pending.request.id(), index, cache.id, result, emulation.now() - sentUs, pending.ended,
                result != Result.OK ? CacheStatus.NONE : hit ? CacheStatus.HIT : CacheStatus.FILLED, 0, load));
        if (pending.ended && pending.attempts.isEmpty()) {
            pendingRequests.remove(pending.request.id());
        }
        if (!pending.ended && emulation.now() - pending.receivedUs >= Workload.DEADLINE_US) {
            endRequest(pending);
            metrics.failed++;
            handle(new RequestCancelled(pending.request.id()));
        }
    }
}
