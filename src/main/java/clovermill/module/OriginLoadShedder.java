package clovermill.module;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Outcome;
import clovermill.CacheRouter.Result;
import clovermill.CacheRouter.Telling;
import clovermill.memory.DecayingAverage;

/**
 * Spares the origin while it is slow, turns work away or has stopped: the more of what was asked of it of late (of
 * all fills, where no more is told) was in vain or late, the more fills are to take only what their parent holds.
 * Could harm where single parents fail.
 */
record OriginLoadShedder(RoutingContext state, DecayingAverage inVain) {

    /** Whether a fill is to take only what its parent holds, by chance. */
    boolean spare() {
        return state.random.nextDouble() < inVain.at(state.now);
    }

    void learn(Attempt attempt, Outcome outcome, boolean filled, Endpoint origin) {
        Route choice = attempt.choice();
        Note note = outcome.note();
        if (choice.target() == origin || note == Note.ORIGIN_ASKED || note == Note.ORIGIN_FAILED
                || choice.source() == origin && note == Note.SOURCE_REFUSED
                || choice.filler() != null && !choice.sparing()
                        && (filled && state.settings.telling() != Telling.ALL
                                || outcome.result() == Result.TIMED_OUT
                                        && choice.source().breaker.answeredAfter(attempt.sentUs()))) {
            long tookUs = outcome.elapsedUs();
            boolean late = tookUs > attempt.pending().aimUs && 2 * outcome.waitedUs() > tookUs;
            inVain.add(outcome.result() != Result.OK || late ? 1 : 0, state.now);
        }
    }
}
