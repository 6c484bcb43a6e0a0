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
 * Sites whose answers tell hits and no cause of an error (centre-cache): a hub whose fills all fail must leave, not the
 * caches that asked it, and neither a bad cache nor a bad request may be taken for a bad hub.
 */
class UntoldErrorTest {

    private final List<String> left = new ArrayList<>();
    private Director director;

    @BeforeEach
    void start() {
        director = new Director(Director.settings(false, CacheStatusDetail.HITS, 1), 7);
        director.tell(Director.fleet(4));
    }

    /** Asks for a new object, answers each attempt as told and counts them; the count is negative after a refusal. */
    private int ask(long object, Predicate<SendVia> errs) {
        List<Action> next = director.tell(director.request(0, object, 0));
        for (int attempt = 0;; attempt++) {
            next.stream().filter(Log.class::isInstance).forEach(line -> left.add(((Log) line).line()));
            if (next.stream().filter(SetTimer.class::isInstance).findFirst().orElse(null) instanceof SetTimer timer) {
                director.now += timer.delayUs();
                next = director.tell(new TimerExpired(timer.token()));
            }
            SendVia sent = (SendVia) next.stream().filter(SendVia.class::isInstance).findFirst().orElse(null);
            if (sent == null) {
                return next.stream().anyMatch(a -> a instanceof Reject || a instanceof Fail) ? -attempt : attempt;
            }
            director.now += 110_000;
            boolean bad = errs.test(sent);
            next = director
                    .tell(new AttemptEnded(sent.request(), attempt, sent.member(), bad ? Result.ERROR : Result.OK,
                            110_000, !bad, bad ? CacheStatus.NONE : CacheStatus.FILLED, 0, null));
        }
    }

    @Test
    void aHubWhoseFillsFailLeavesAndNoCacheDoes() {
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            int tries = ask(i, attempt -> attempt.source().equals("parent-1"));
            assertThat(tries).as("request %d is served", i).isPositive();
            sent += tries;
        }
        assertThat(left).containsExactly("left the ring: PARENT parent-1");
        assertThat(sent).as("attempts of 100 requests").isLessThan(110);
    }

    @Test
    void aCacheThatErrsAtEverythingLeavesAndNoHubStaysAway() {
        for (int i = 0; i < 100; i++) {
            int tries = ask(i, attempt -> attempt.member().equals("cache-2"));
            assertThat(tries).as("request %d is served", i).isPositive();
        }
        assertThat(left).contains("left the ring: CACHE cache-2");
        List<String> sources = new ArrayList<>();
        for (int i = 100; i < 140; i++) {
            ask(i, attempt -> {
                sources.add(attempt.source());
                return attempt.member().equals("cache-2");
            });
        }
        assertThat(sources).contains("parent-0", "parent-1");
    }

    @Test
    void aRequestThatNobodyCanServeEndsAfterThreeAndSpeaksAgainstNone() {
        for (int i = 0; i < 60; i++) {
            assertThat(ask(i, attempt -> true)).as("sent before the refusal").isEqualTo(-3);
        }
        assertThat(left).isEmpty();
    }

    /** Fills that time out while their hub answers others; each seems to speak against the origin. */
    private void fillsInVain(int count) {
        for (int i = 0; i < count; i++) {
            SendVia late = (SendVia) director.tell(director.request(0, 5_000 + i, 0)).get(0);
            for (int j = 0; j < 6; j++) {
                ask(10_000 + 10 * i + j, attempt -> false);
            }
            director.tell(new AttemptEnded(late.request(), 0, late.member(), Result.TIMED_OUT, 660_000, false,
                    CacheStatus.NONE, 0,
                    null));
        }
    }

    @Test
    void fillsThatComeEndTheSparingOfTheOriginThoughNothingTellsThatItWasAsked() {
        fillsInVain(12);
        int held = 0;
        for (int i = 0; i < 40; i++) {
            SendVia sent = (SendVia) director.tell(director.request(0, 20_000 + i, 0)).get(0);
            held += sent.onlyIfCached() && i >= 20 ? 1 : 0;
            director.tell(
                    new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 110_000, true, CacheStatus.FILLED, 0,
                            null));
        }
        assertThat(held).as("of 20 that ask a hub only for what it holds, after 20 that came").isLessThan(3);
    }

    @Test
    void whatAHubDoesNotHoldIsRefusedAtOnceWhileTheOriginIsSpared() {
        for (int i = 0; i < 300; i++) {
            SendVia sent = (SendVia) director.tell(director.request(0, 30_000 + i, 0)).get(0);
            if (sent.onlyIfCached()) {
                List<Action> next =
                        director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.MISS, 30_000,
                                false, CacheStatus.NONE, 0, null));
                assertThat(next).hasSize(1).first().isInstanceOf(Reject.class);
                return;
            }
            for (int j = 0; j < 2; j++) {
                SendVia other = (SendVia) director.tell(director.request(0, 40_000 + 10 * i + j, 0)).get(0);
                director.now += 1_000;
                director.tell(new AttemptEnded(other.request(), 0, other.member(), Result.OK, 660_000, true,
                        CacheStatus.FILLED,
                        0, null));
            }
            director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.TIMED_OUT, 660_000, true,
                    CacheStatus.NONE, 0,
                    null));
        }
        throw new AssertionError("the origin was never spared");
    }
}
