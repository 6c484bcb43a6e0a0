package clovermill.module;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Outcome;
import clovermill.CacheRouter.Result;
import clovermill.CacheRouter.Telling;
import clovermill.memory.CircuitBreaker;

/** What an outcome teaches: of copies, pace and health, and whom a failure speaks against. */
record OutcomeObserver(RoutingContext state) {

    void learn(PendingRequest pending, Attempt attempt, Outcome outcome) {
        Route choice = attempt.choice();
        Endpoint cache = choice.target();
        boolean filled = outcome.result() == Result.OK && switch (outcome.note()) {
            case FILLED, ORIGIN_ASKED, JOINED -> true;
            default -> state.settings.telling() == Telling.NONE && !choice.believed();
        };
        if (choice.rank() > 0 && outcome.result() != Result.CANCELLED && outcome.result() != Result.NOT_SENT) {
            state.beliefs.believe(pending.request, cache, outcome.result() == Result.OK);
        }
        state.sparing.learn(attempt, outcome, filled, state.members.origin);
        switch (outcome.result()) {
            case OK -> {
                state.cold.served(cache, pending);
                if (!filled && pending.request.sizeKb() <= 0) {
                    state.work.hit(pending.request.requestClass(), outcome.elapsedUs() - outcome.waitedUs());
                }
                if (!filled || choice.filler() != null) {
                    state.room.paced(attempt, filled, outcome.elapsedUs() - outcome.waitedUs());
                }
                if (filled && choice.filler() != null) {
                    state.cold.served(choice.source(), pending);
                    state.health.succeeded(choice.source());
                }
                state.health.succeeded(cache);
                pending.erred.forEach(erred -> state.health.failed(erred, CircuitBreaker.NEWS, false));
            }
            case CANCELLED, NOT_SENT -> {}
            default -> blame(pending, attempt, outcome);
        }
    }

    /** Blames what failed by the note; where none is told, a fill's source, then the cache, or the link. */
    private void blame(PendingRequest pending, Attempt attempt, Outcome outcome) {
        boolean fill = attempt.choice().filler() != null;
        Endpoint cache = attempt.choice().target();
        Endpoint source = attempt.choice().source() == null ? cache : attempt.choice().source();
        boolean untold = state.settings.telling() == Telling.NONE && fill;
        boolean ofSource = switch (outcome.note()) {
            case SOURCE_REFUSED, SOURCE_UNREACHED, SOURCE_LACKS -> true;
            default -> outcome.result() == Result.ERROR
                    ? state.settings.telling() != Telling.ALL && fill && pending.erred.isEmpty()
                    : untold && outcome.result() == Result.TIMED_OUT;
        };
        switch (outcome.note()) {
            case SOURCE_REFUSED -> state.room.crowded(source);
            case SOURCE_UNREACHED -> state.health.silent(source, attempt);
            case SOURCE_LACKS -> state.beliefs.believe(pending.request, source, false);
            case ORIGIN_FAILED -> state.health.silent(state.members.origin, attempt);
            case NO_PLACE -> state.room.crowded(state.room.link);
            default -> blame(ofSource ? source : untold && outcome.result() == Result.REFUSED ? state.room.link : cache,
                    attempt, outcome.result());
        }
        if (outcome.result() == Result.TIMED_OUT && fill) {
            state.health.silent(source, attempt);
        }
        if (outcome.note() != Note.ORIGIN_FAILED) {
            pending.failed.add(ofSource ? source : cache);
        }
    }

    /** An error speaks against a member once another serves the request, which may be at fault itself. */
    private void blame(Endpoint cache, Attempt attempt, Result result) {
        switch (result) {
            case REFUSED -> state.room.crowded(cache);
            case UNCONNECTED -> state.health.failed(cache, 1, true);
            case BROKEN -> state.health.broke(cache);
            case TIMED_OUT -> state.health.silent(cache, attempt);
            case ERROR -> attempt.pending().erred.add(cache);
            default -> {}
        }
    }
}
