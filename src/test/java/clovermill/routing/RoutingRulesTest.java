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

/** The five routing rules, each tested by a sequence of events that fails if the rule is not enforced. */
class RoutingRulesTest {

    private static boolean isFinalResponse(Action action) {
        return action instanceof Reject || action instanceof Fail;
    }

    @Test
    void sendsOneFinalResponseAfterTimeoutAtDeadline() {
        TestDirector director = TestDirector.create();
        SendVia sent = director.read(1);
        assertEquals(6_000_000, sent.timeoutUs());
        List<Action> last = director.endAttempt(sent, 0, Result.TIMED_OUT, CacheStatus.NONE, 6_000_000);
        assertEquals(1, last.stream().filter(RoutingRulesTest::isFinalResponse).count());
        assertEquals(List.of(), director.handle(new AttemptEnded(sent.request(), 0, sent.member(),
                Result.TIMED_OUT, 1, true,
                CacheStatus.NONE, 0, null)), "the end of an unknown attempt is ignored");
    }

    @Test
    void sendsNothingAfterCancellation() {
        TestDirector director = TestDirector.create();
        SendVia sent = director.read(1);
        director.handle(new RequestCancelled(sent.request()));
        List<Action> after = director.endAttempt(sent, 0, Result.CONNECT_FAILED, CacheStatus.NONE, 1_000);
        assertTrue(after.stream().noneMatch(a -> a instanceof SendVia || isFinalResponse(a)), after.toString());
    }

    @Test
    void failsAtMostOnceRequestAfterConnectionLoss() {
        TestDirector director = TestDirector.create();
        Request request = director.request(2, 5, 0);
        Send sent = (Send) director.handle(request).get(0);
        List<Action> next = director.handle(new AttemptEnded(request.id(), 0, sent.member(), Result.CONNECTION_LOST, 9,
                false, CacheStatus.NONE,
                0, null));
        assertEquals(List.of(new Fail(request.id())), next);
    }

    @Test
    void retriesAtMostOnceRequestAfterConnectFailure() {
        TestDirector director = TestDirector.create();
        Request request = director.request(2, 5, 0);
        Send sent = (Send) director.handle(request).get(0);
        List<Action> next = director.handle(new AttemptEnded(request.id(), 0, sent.member(), Result.CONNECT_FAILED, 9,
                false,
                CacheStatus.NONE, 0, null));
        assertInstanceOf(SendVia.class, next.get(next.size() - 1));
    }

    @Test
    void retriesDeduplicatedRequestOnlyWithinItsWindow() {
        TestDirector director = TestDirector.create();
        Request late = new Request("00000000000000aa", 1, 0, 5, 0, 0, 10, 6_000_000, false);
        Send sent = (Send) director.handle(late).get(0);
        director.nowUs += TestDirector.DEDUPLICATED_WRITE.windowUs();
        List<Action> next = director.handle(new AttemptEnded(late.id(), 0, sent.member(), Result.CONNECTION_LOST,
                TestDirector.DEDUPLICATED_WRITE.windowUs(), false, CacheStatus.NONE, 0, null));
        assertTrue(next.stream().noneMatch(a -> a instanceof Send || a instanceof SendVia), next.toString());
        assertEquals(1, next.stream().filter(RoutingRulesTest::isFinalResponse).count());
    }

    @Test
    void drainingMemberIsNeitherTargetNorSource() {
        TestDirector director = TestDirector.create();
        for (long object = 0; object < 200; object++) {
            director.serve(object, CacheStatus.FILLED);
        }
        director.handle(new MembersChanged(ListScope.CHANGES, List.of(
                TestDirector.with(TestDirector.cache(1), Availability.DRAINING, 0),
                TestDirector.with(TestDirector.parent(0), Availability.REMOVED, 0))));
        for (long object = 0; object < 200; object++) {
            SendVia sent = director.serve(object, CacheStatus.HIT);
            assertNotEquals("cache-1", sent.member());
            assertNotEquals("cache-1", sent.source());
            assertNotEquals("parent-0", sent.source());
        }
        director.handle(TestDirector.fullList(1));
        assertEquals("cache-0", director.serve(3, CacheStatus.HIT).member(),
                "members absent from a full list are removed");
    }

    @Test
    void limitsCacheInSlowStartToItsBudget() {
        TestDirector director = TestDirector.create();
        List<Long> atHome = new ArrayList<>();
        for (long object = 0; object < 200; object++) {
            if (director.serve(object, CacheStatus.HIT).member().equals("cache-2")) {
                atHome.add(object);
            }
        }
        double warmRate = 100_000 / 110_000.0 / 4;
        director.handle(new MembersChanged(ListScope.CHANGES, List.of(
                TestDirector.with(TestDirector.cache(2), Availability.HEALTHY, director.nowUs - 1))));
        int toCold = 0;
        for (int i = 0; i < 25; i++) {
            toCold += director.serve(atHome.get(i), CacheStatus.FILLED).member().equals("cache-2") ? 1 : 0;
        }
        double limit = TestDirector.SLOW_START.overloadMultiple() * TestDirector.SLOW_START.initialShare() * warmRate
                * TestDirector.SLOW_START.overloadWindowUs() / 100_000;
        assertTrue(toCold > 0, "a cold cache gets some requests");
        assertTrue(toCold <= limit, toCold + " sent, " + limit + " allowed");
    }

    @Test
    void hitsDoNotRaiseSlowStartBudgetOfParent() {
        TestDirector director = TestDirector.create();
        for (int i = 0; i < 200; i++) {
            director.serve(i, CacheStatus.FILLED);
        }
        for (int i = 0; i < 2000; i++) {
            director.serve(i % 200, CacheStatus.HIT);
        }
        double hitRate = 100_000 / 110_000.0 / 2;
        director.handle(new MembersChanged(ListScope.CHANGES, List.of(
                TestDirector.with(TestDirector.parent(0), Availability.HEALTHY, director.nowUs - 1))));
        int toCold = 0;
        for (int i = 0; i < 25; i++) {
            toCold += director.serve(1000 + i, CacheStatus.FILLED).source().equals("parent-0") ? 1 : 0;
        }
        double limitWithHits = TestDirector.PARENT_SLOW_START.overloadMultiple()
                * TestDirector.PARENT_SLOW_START.initialShare() * hitRate
                * TestDirector.PARENT_SLOW_START.overloadWindowUs() / 100_000;
        assertTrue(toCold < limitWithHits / 2,
                toCold + " fills; if hits counted as fills, the budget would be " + limitWithHits);
    }

    @Test
    void directorsWithLowTrafficTogetherKeepSlowStartBudgetOfParent() {
        int directors = 200;
        int sent = 0;
        for (int seed = 0; seed < directors; seed++) {
            TestDirector director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL), seed);
            director.handle(TestDirector.fullList(4));
            for (int i = 0; i < 20; i++) {
                director.serve(1000L * seed + i, CacheStatus.FILLED);
                director.nowUs += 2_000_000;
            }
            director.handle(new MembersChanged(ListScope.CHANGES, List.of(
                    TestDirector.with(TestDirector.parent(0), Availability.HEALTHY, director.nowUs - 1))));
            long startUs = director.nowUs;
            while (director.nowUs - startUs < TestDirector.PARENT_SLOW_START.overloadWindowUs()) {
                sent += director.serve(director.nowUs + 7919L * seed, CacheStatus.FILLED).source().equals("parent-0")
                        ? 1
                        : 0;
                director.nowUs += 2_000_000;
            }
        }
        double rate = directors / 2_110_000.0 / 2;
        double limit =
                TestDirector.PARENT_SLOW_START.overloadMultiple() * TestDirector.PARENT_SLOW_START.initialShare() * rate
                        * TestDirector.PARENT_SLOW_START.overloadWindowUs() * 1.5;
        assertTrue(sent > 0, "together they send some requests");
        assertTrue(sent <= limit, sent + " sent, " + limit + " allowed");
    }

    @Test
    void requestsNoCopyOlderThanPurge() {
        TestDirector director = TestDirector.create();
        SendVia before = director.serve(9, CacheStatus.FILLED);
        assertEquals(0, before.maxAgeUs());
        director.handle(new Purge(9L, 9, 50_000));
        director.nowUs += 10_000;
        SendVia after = director.read(9);
        assertTrue(after.maxAgeUs() > 0 && after.maxAgeUs() < 60_000, "age " + after.maxAgeUs());
        assertFalse(after.joinFill(), "a fill in progress may have begun before the purge");
        director.nowUs += 7_000_000;
        assertEquals(0, director.read(9).maxAgeUs());
    }

    @Test
    void appliesGroupPurgeToItsObjectsOnly() {
        TestDirector director = TestDirector.create();
        director.handle(new Purge(null, 9, 50_000));
        director.nowUs += 10_000;
        SendVia inGroup = (SendVia) director.handle(director.request(3, 9 + 32, 0)).get(0);
        assertTrue(inGroup.maxAgeUs() < 60_000, "age " + inGroup.maxAgeUs());
        SendVia outside = (SendVia) director.handle(director.request(3, 10, 0)).get(0);
        assertEquals(TestDirector.READ_WITH_FRESH_TIME.freshUs(), outside.maxAgeUs());
    }
}
