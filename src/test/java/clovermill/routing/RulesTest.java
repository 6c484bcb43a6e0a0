package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Fail;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The five rules, each by a script of events that fails without its guard. */
class RulesTest {

    private static boolean isFinal(Action action) {
        return action instanceof Reject || action instanceof Fail;
    }

    @Test
    void theAttemptThatTimesOutAtTheDeadlineIsFollowedByOneFinalAnswer() {
        Director director = Director.ready();
        SendVia sent = director.read(1);
        assertEquals(6_000_000, sent.timeoutUs());
        List<Action> last = director.answer(sent, 0, Result.TIMED_OUT, CacheStatus.NONE, 6_000_000);
        assertEquals(1, last.stream().filter(RulesTest::isFinal).count());
        assertEquals(List.of(), director.tell(new AttemptEnded(sent.request(), 0, sent.member(),
                Result.TIMED_OUT, 1, true,
                CacheStatus.NONE, 0, null)), "an outcome for an id no longer held is passed over");
    }

    @Test
    void nothingIsSentForAClientThatHasGone() {
        Director director = Director.ready();
        SendVia sent = director.read(1);
        director.tell(new RequestCancelled(sent.request()));
        List<Action> after = director.answer(sent, 0, Result.CONNECT_FAILED, CacheStatus.NONE, 1_000);
        assertTrue(after.stream().noneMatch(a -> a instanceof SendVia || isFinal(a)), after.toString());
    }

    @Test
    void aRequestThatMayRunOnlyOnceIsNeitherRepeatedNorRefusedAfterItMayHaveRun() {
        Director director = Director.ready();
        Request request = director.request(2, 5, 0);
        Send sent = (Send) director.tell(request).get(0);
        List<Action> next = director.tell(new AttemptEnded(request.id(), 0, sent.member(), Result.CONNECTION_LOST, 9,
                false, CacheStatus.NONE,
                0, null));
        assertEquals(List.of(new Fail(request.id())), next);
    }

    @Test
    void aRequestThatMayRunOnlyOnceIsRepeatedAfterProofThatNothingRan() {
        Director director = Director.ready();
        Request request = director.request(2, 5, 0);
        Send sent = (Send) director.tell(request).get(0);
        List<Action> next = director.tell(new AttemptEnded(request.id(), 0, sent.member(), Result.CONNECT_FAILED, 9,
                false,
                CacheStatus.NONE, 0, null));
        assertInstanceOf(SendVia.class, next.get(next.size() - 1));
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyInsideItsWindow() {
        Director director = Director.ready();
        Request late = new Request("00000000000000aa", 1, 0, 5, 0, 0, 10, 6_000_000, false);
        Send sent = (Send) director.tell(late).get(0);
        director.now += Director.KEYED.windowUs();
        List<Action> next = director.tell(new AttemptEnded(late.id(), 0, sent.member(), Result.CONNECTION_LOST,
                Director.KEYED.windowUs(), false, CacheStatus.NONE, 0, null));
        assertTrue(next.stream().noneMatch(a -> a instanceof Send || a instanceof SendVia), next.toString());
        assertEquals(1, next.stream().filter(RulesTest::isFinal).count());
    }

    @Test
    void aDrainingMemberIsNeitherTargetNorSource() {
        Director director = Director.ready();
        for (long object = 0; object < 200; object++) {
            director.served(object, CacheStatus.FILLED);
        }
        director.tell(new MembersChanged(ListScope.CHANGES, List.of(
                Director.with(Director.cache(1), Availability.DRAINING, 0),
                Director.with(Director.parent(0), Availability.REMOVED, 0))));
        for (long object = 0; object < 200; object++) {
            SendVia sent = director.served(object, CacheStatus.HIT);
            assertNotEquals("cache-1", sent.member());
            assertNotEquals("cache-1", sent.source());
            assertNotEquals("parent-0", sent.source());
        }
        director.tell(Director.fleet(1));
        assertEquals("cache-0", director.served(3, CacheStatus.HIT).member(),
                "those absent from a full list are gone");
    }

    @Test
    void aColdCacheGetsNoMoreThanItsBudget() {
        Director director = Director.ready();
        List<Long> atHome = new ArrayList<>();
        for (long object = 0; object < 200; object++) {
            if (director.served(object, CacheStatus.HIT).member().equals("cache-2")) {
                atHome.add(object);
            }
        }
        double warmRate = 100_000 / 110_000.0 / 4;
        director.tell(new MembersChanged(ListScope.CHANGES, List.of(
                Director.with(Director.cache(2), Availability.HEALTHY, director.now - 1))));
        int toCold = 0;
        for (int i = 0; i < 25; i++) {
            toCold += director.served(atHome.get(i), CacheStatus.FILLED).member().equals("cache-2") ? 1 : 0;
        }
        double most = Director.COLD.overloadMultiple() * Director.COLD.initialShare() * warmRate
                * Director.COLD.overloadWindowUs() / 100_000;
        assertTrue(toCold > 0, "a cold cache is warmed by some work");
        assertTrue(toCold <= most, toCold + " sent, " + most + " allowed");
    }

    @Test
    void answersFromCopiesDoNotRaiseWhatAColdParentIsSent() {
        Director director = Director.ready();
        for (int i = 0; i < 200; i++) {
            director.served(i, CacheStatus.FILLED);
        }
        for (int i = 0; i < 2000; i++) {
            director.served(i % 200, CacheStatus.HIT);
        }
        double hitRate = 100_000 / 110_000.0 / 2;
        director.tell(new MembersChanged(ListScope.CHANGES, List.of(
                Director.with(Director.parent(0), Availability.HEALTHY, director.now - 1))));
        int toCold = 0;
        for (int i = 0; i < 25; i++) {
            toCold += director.served(1000 + i, CacheStatus.FILLED).source().equals("parent-0") ? 1 : 0;
        }
        double asIfFilled = Director.PARENT_COLD.overloadMultiple() * Director.PARENT_COLD.initialShare() * hitRate
                * Director.PARENT_COLD.overloadWindowUs() / 100_000;
        assertTrue(toCold < asIfFilled / 2, toCold + " fills, hits as fills would allow " + asIfFilled);
    }

    @Test
    void manyDirectorsWithLittleTrafficKeepAColdParentsBudgetTogether() {
        int directors = 200;
        int sent = 0;
        for (int seed = 0; seed < directors; seed++) {
            Director director = new Director(Director.settings(true, CacheStatusDetail.ALL), seed);
            director.tell(Director.fleet(4));
            for (int i = 0; i < 20; i++) {
                director.served(1000L * seed + i, CacheStatus.FILLED);
                director.now += 2_000_000;
            }
            director.tell(new MembersChanged(ListScope.CHANGES, List.of(
                    Director.with(Director.parent(0), Availability.HEALTHY, director.now - 1))));
            long startUs = director.now;
            while (director.now - startUs < Director.PARENT_COLD.overloadWindowUs()) {
                sent += director.served(director.now + 7919L * seed, CacheStatus.FILLED).source().equals("parent-0") ? 1
                        : 0;
                director.now += 2_000_000;
            }
        }
        double rate = directors / 2_110_000.0 / 2;
        double most = Director.PARENT_COLD.overloadMultiple() * Director.PARENT_COLD.initialShare() * rate
                * Director.PARENT_COLD.overloadWindowUs() * 1.5;
        assertTrue(sent > 0, "together they warm it");
        assertTrue(sent <= most, sent + " sent, " + most + " allowed");
    }

    @Test
    void nothingOlderThanAPurgeIsAskedFor() {
        Director director = Director.ready();
        SendVia before = director.served(9, CacheStatus.FILLED);
        assertEquals(0, before.maxAgeUs());
        director.tell(new Purge(9L, 9, 50_000));
        director.now += 10_000;
        SendVia after = director.read(9);
        assertTrue(after.maxAgeUs() > 0 && after.maxAgeUs() < 60_000, "age " + after.maxAgeUs());
        assertFalse(after.joinFill(), "a fill under way may have begun before the purge");
        director.now += 7_000_000;
        assertEquals(0, director.read(9).maxAgeUs());
    }

    @Test
    void aGroupPurgeHoldsForItsObjectsAndWithinTheFreshTime() {
        Director director = Director.ready();
        director.tell(new Purge(null, 9, 50_000));
        director.now += 10_000;
        SendVia inGroup = (SendVia) director.tell(director.request(3, 9 + 32, 0)).get(0);
        assertTrue(inGroup.maxAgeUs() < 60_000, "age " + inGroup.maxAgeUs());
        SendVia outside = (SendVia) director.tell(director.request(3, 10, 0)).get(0);
        assertEquals(Director.FRESH.freshUs(), outside.maxAgeUs());
    }
}
