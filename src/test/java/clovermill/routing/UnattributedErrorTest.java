package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Fail;
import clovermill.routing.api.Log;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sites whose responses report hits but not the cause of an error (centre-cache): a hub whose fills all fail must be
 * ejected, not the caches that use it, and neither a failing cache nor a faulty request may be mistaken for a failing
 * hub.
 */
class UnattributedErrorTest {

    private final List<String> logLines = new ArrayList<>();
    private TestDirector director;

    @BeforeEach
    void createDirector() {
        director = new TestDirector(TestDirector.settings(false, CacheStatusDetail.HITS, 1), 7);
        director.handle(TestDirector.fullList(4));
    }

    /** Runs a request whose attempts fail as given; returns their number, negative if the request was not served. */
    private int run(long object, Predicate<SendVia> fails) {
        List<Action> next = director.handle(director.request(0, object, 0));
        for (int attempt = 0;; attempt++) {
            next.stream().filter(Log.class::isInstance).forEach(line -> logLines.add(((Log) line).line()));
            if (next.stream().filter(SetTimer.class::isInstance).findFirst().orElse(null) instanceof SetTimer timer) {
                director.nowUs += timer.delayUs();
                next = director.handle(new TimerExpired(timer.token()));
            }
            SendVia sent = (SendVia) next.stream().filter(SendVia.class::isInstance).findFirst().orElse(null);
            if (sent == null) {
                return next.stream().anyMatch(a -> a instanceof Reject || a instanceof Fail) ? -attempt : attempt;
            }
            director.nowUs += 110_000;
            boolean failed = fails.test(sent);
            next = director
                    .handle(new AttemptEnded(sent.request(), attempt, sent.member(), failed ? Result.ERROR : Result.OK,
                            110_000, !failed, failed ? CacheStatus.NONE : CacheStatus.FILLED, 0, null));
        }
    }

    @Test
    void ejectsHubWhoseFillsFailButNoCache() {
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            int attempts = run(i, attempt -> attempt.source().equals("parent-1"));
            assertThat(attempts).as("request %d is served", i).isPositive();
            sent += attempts;
        }
        assertThat(logLines).containsExactly("left the ring: PARENT parent-1");
        assertThat(sent).as("attempts of 100 requests").isLessThan(110);
    }

    @Test
    void ejectsCacheThatAlwaysFailsAndKeepsUsingHubs() {
        for (int i = 0; i < 100; i++) {
            int attempts = run(i, attempt -> attempt.member().equals("cache-2"));
            assertThat(attempts).as("request %d is served", i).isPositive();
        }
        assertThat(logLines).contains("left the ring: CACHE cache-2");
        List<String> sources = new ArrayList<>();
        for (int i = 100; i < 140; i++) {
            run(i, attempt -> {
                sources.add(attempt.source());
                return attempt.member().equals("cache-2");
            });
        }
        assertThat(sources).contains("parent-0", "parent-1");
    }

    @Test
    void failsRequestAfterThreeErrorsWithoutEjection() {
        for (int i = 0; i < 60; i++) {
            assertThat(run(i, attempt -> true)).as("attempts before the rejection").isEqualTo(-3);
        }
        assertThat(logLines).isEmpty();
    }

    /** Times out fills while their hub answers others, which each seem to be failures of the origin. */
    private void timeOutFills(int count) {
        for (int i = 0; i < count; i++) {
            SendVia late = (SendVia) director.handle(director.request(0, 5_000 + i, 0)).get(0);
            for (int j = 0; j < 6; j++) {
                run(10_000 + 10 * i + j, attempt -> false);
            }
            director.handle(new AttemptEnded(late.request(), 0, late.member(), Result.TIMED_OUT, 660_000, false,
                    CacheStatus.NONE, 0,
                    null));
        }
    }

    @Test
    void successfulFillsStopOriginSheddingWithoutOriginReports() {
        timeOutFills(12);
        int cachedOnly = 0;
        for (int i = 0; i < 40; i++) {
            SendVia sent = (SendVia) director.handle(director.request(0, 20_000 + i, 0)).get(0);
            cachedOnly += sent.onlyIfCached() && i >= 20 ? 1 : 0;
            director.handle(
                    new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 110_000, true, CacheStatus.FILLED, 0,
                            null));
        }
        assertThat(cachedOnly).as("of 20 that use only the cached copy of a hub, after 20 successful fills")
                .isLessThan(3);
    }

    @Test
    void rejectsMissAtHubAtOnceWhileSheddingOriginLoad() {
        for (int i = 0; i < 300; i++) {
            SendVia sent = (SendVia) director.handle(director.request(0, 30_000 + i, 0)).get(0);
            if (sent.onlyIfCached()) {
                List<Action> next =
                        director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.MISS, 30_000,
                                false, CacheStatus.NONE, 0, null));
                assertThat(next).hasSize(1).first().isInstanceOf(Reject.class);
                return;
            }
            for (int j = 0; j < 2; j++) {
                SendVia other = (SendVia) director.handle(director.request(0, 40_000 + 10 * i + j, 0)).get(0);
                director.nowUs += 1_000;
                director.handle(new AttemptEnded(other.request(), 0, other.member(), Result.OK, 660_000, true,
                        CacheStatus.FILLED,
                        0, null));
            }
            director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.TIMED_OUT, 660_000, true,
                    CacheStatus.NONE, 0,
                    null));
        }
        throw new AssertionError("no load was shed from the origin");
    }
}
