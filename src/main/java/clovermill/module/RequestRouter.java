package clovermill.module;

import clovermill.CacheRouter;
import clovermill.memory.CircuitBreaker;
import clovermill.memory.PurgeLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The entry of the module: each request from its arrival to its one final answer, its attempts and repeats. */
public final class RequestRouter implements CacheRouter {

    /** The token of the timer after which the list is asked for again. */
    private static final long WATCH_TOKEN = Long.MAX_VALUE;

    private final RoutingContext state;
    private final RouteSelector path;
    private final OutcomeObserver lessons;
    private final HedgingPolicy hedges = new HedgingPolicy();
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final Map<Long, PendingRequest> paused = new HashMap<>();
    private long nextToken;

    /** A router for one director; {@code seed} is the source of all its random numbers. */
    public RequestRouter(Settings settings, long seed) {
        state = new RoutingContext(settings, seed);
        path = new RouteSelector(state);
        lessons = new OutcomeObserver(state);
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        state.now = nowUs;
        state.out = actions;
        state.room.advance();
        state.members.advance();
        if (state.startedUs == RoutingContext.NEVER) {
            state.startedUs = nowUs;
            if (state.settings.listOnRequest()) {
                actions.accept(new Watch(true));
            }
        }
        if (event instanceof Request request) {
            onRequest(request);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof ClientGone gone && requests.containsKey(gone.request())) {
            onGone(requests.get(gone.request()));
        } else if (event instanceof Members news) {
            if (news.scope() == ListScope.FAILED && state.settings.listOnRequest()) {
                actions.accept(new SetTimer(CircuitBreaker.TRIAL_US, WATCH_TOKEN));
            }
            state.members.on(news);
        } else if (event instanceof Operated operated) {
            state.members.takenOut = operated.out();
        } else if (event instanceof Purge purge) {
            state.beliefs.purged(purge);
        } else if (event instanceof Timer timer) {
            onTimer(timer);
        } else if (event instanceof Retuned retuned) {
            state.settings = retuned.settings();
        }
        // Only now: the event may have ended a request, or told of a member that drains.
        for (Attempt late = hedges.first.due(nowUs); late != null; late = hedges.first.due(nowUs)) {
            hedge(late);
        }
    }

    private void onRequest(Request request) {
        PendingRequest pending = new PendingRequest(request, state);
        requests.put(request.id(), pending);
        state.work.asked(request.requestClass(), pending.workUs);
        hedges.asked();
        attempt(pending);
    }

    /** Sends a request whose answer is overdue to another member too, which keeps no copy. */
    private void hedge(Attempt first) {
        PendingRequest pending = first.pending();
        if (!hedges.allows(first) || pending.spent(state)) {
            return;
        }
        pending.failed.add(first.choice().target());
        pending.mayHaveRun(first);
        Route choice = path.choose(pending);
        if (choice != null && choice != Route.LOADED && pending.mayRepeatAt(choice.target(), state)) {
            send(pending, new Route(choice.target(), choice.source(), 0, choice.believed(), choice.sparing()));
        }
    }

    /** Sends the next attempt of a request, or ends it where none is left. */
    private void attempt(PendingRequest pending) {
        Route choice = pending.spent(state) ? Route.LOADED : path.choose(pending);
        if (choice == null) {
            pending.failed.clear();
            pause(pending);
        } else if (choice == Route.LOADED || !pending.mayRepeatAt(choice.target(), state)) {
            end(pending);
        } else {
            send(pending, choice);
        }
    }

    private void send(PendingRequest pending, Route choice) {
        Request request = pending.request;
        Endpoint target = choice.target();
        Endpoint source = choice.source();
        int index = pending.sent++;
        state.cold.charge(target, pending);
        if (source != null && source != target) {
            state.cold.charge(source, pending);
        }
        Attempt attempt = new Attempt(index, pending, choice, state.now, state.now + pending.aimUs,
                state.room.loads(choice));
        state.room.sent(attempt);
        pending.out.put(index, attempt);
        Permissions allowed = state.settings.allowed();
        if (index == 0 && pending.kind.effect() != Effect.AT_MOST_ONCE && allowed.secondCopies()) {
            hedges.first.add(attempt);
        }
        long left = pending.deadlineUs - state.now;
        boolean join = allowed.joins() && state.beliefs.purgedUs(request) == PurgeLog.NEVER;
        state.out.accept(source == null ? new Send(request.id(), target.id, left)
                : new SendVia(request.id(), target.id, left, source.id, choice.rank(), state.beliefs.maxAge(pending),
                        join, choice.sparing(), false, pending.kind.freshUs() > 0));
    }

    private void onOutcome(Outcome outcome) {
        PendingRequest pending = requests.get(outcome.request());
        Attempt attempt = pending == null ? null : pending.out.remove(outcome.attempt());
        if (attempt == null) {
            return;
        }
        state.room.ended(attempt, outcome.load());
        lessons.learn(pending, attempt, outcome);
        if (outcome.over() || pending.over) {
            onGone(pending);
            return;
        }
        if (!outcome.result().neverRan() && pending.mayHaveRunUs == RoutingContext.NEVER) {
            pending.mayHaveRun(attempt);
        }
        if (!pending.out.isEmpty()) {
            return; // its other copy may still be answered
        }
        Route choice = attempt.choice();
        if (outcome.note() == Note.SOURCE_LACKS && state.members.parents.members.contains(choice.source())
                || outcome.result() == Result.MISS && (choice.sparing() || choice.source() == choice.target())
                || pending.erred.size() > (state.settings.telling() == Telling.ALL ? 1 : 2)) {
            end(pending);
        } else if (pending.sent > 1 || outcome.note() == Note.ORIGIN_FAILED) {
            pause(pending);
        } else {
            attempt(pending);
        }
    }

    /** Nothing more is owed for a request; it is forgotten when its last attempt has ended. */
    private void over(PendingRequest pending) {
        pending.over = true;
        if (pending.out.isEmpty()) {
            requests.remove(pending.request.id());
        }
    }

    /** Nobody waits for what is still out: it would only take work from those that do. */
    private void onGone(PendingRequest pending) {
        over(pending);
        if (state.settings.allowed().cancelling()) {
            List.copyOf(pending.out.keySet()).forEach(i -> state.out.accept(new Cancel(pending.request.id(), i)));
        }
    }

    /**
     * Waits a little where no member is left, if the request could still be answered after that. One for which nothing
     * was sent is turned away in the first half of its time: its client can still come again.
     */
    private void pause(PendingRequest pending) {
        long left = pending.deadlineUs - state.now - RoutingContext.PAUSE_US;
        long least = pending.sent > 0 ? 0 : pending.request.graceUs() / 2;
        if (left < Math.max(least, pending.workUs + PendingRequest.LEAST_ATTEMPT_US)) {
            end(pending);
            return;
        }
        paused.put(nextToken, pending);
        state.out.accept(new SetTimer(RoutingContext.PAUSE_US, nextToken++));
    }

    private void onTimer(Timer timer) {
        PendingRequest pending = paused.remove(timer.token());
        if (pending != null && !pending.over) {
            attempt(pending);
        } else if (timer.token() == WATCH_TOKEN) {
            state.out.accept(new Watch(true));
        }
    }

    /** The final answer: a refusal where that is allowed, else a failure. */
    private void end(PendingRequest pending) {
        over(pending);
        long awayUs = Math.min(RoutingContext.PAUSE_US, state.settings.allowed().maxRetryAfterUs());
        String id = pending.request.id();
        state.out.accept(pending.mayRefuse() ? new Refuse(id, awayUs) : new Fail(id));
    }
}
