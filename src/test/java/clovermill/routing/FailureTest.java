package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Regression tests of failures found on the bench, each as a short sequence of events. */
class FailureTest {

    /** Returns an object that is filled from the given parent. */
    private static long objectWithParent(TestDirector director, String parent) {
        long object = 1000;
        while (!director.serve(object, CacheStatus.FILLED).source().equals(parent)) {
            object++;
        }
        return object;
    }

    /** Returns whether a request was sent with a source for a miss, not only for the cached copy of its target. */
    private static boolean mayFill(Action action) {
        return action instanceof SendVia sent && !sent.source().equals(sent.member());
    }

    private static void failFillOfPart(TestDirector director, long object, int part) {
        SendVia sent = (SendVia) director.handle(director.request(0, object, part)).get(0);
        director.nowUs += 1;
        director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.ERROR, 1, false,
                CacheStatus.SOURCE_UNREACHABLE, 0, null));
    }

    @Test
    void ejectsFailingParent() {
        TestDirector director = TestDirector.create();
        long object = objectWithParent(director, "parent-0");
        for (int part = 1; part <= 2; part++) {
            failFillOfPart(director, object, part);
        }
        SendVia next = (SendVia) director.handle(director.request(0, object, 9)).get(0);
        assertEquals("parent-1", next.source());
    }

    @Test
    void appliesSlowStartToCacheThatWasUnreachable() {
        TestDirector director = TestDirector.create();
        for (int object = 0; object < 60; object++) {
            director.serve(object, CacheStatus.HIT);
        }
        String restarted = director.serve(7, CacheStatus.HIT).member();
        SendVia sent = director.read(7);
        director.handle(
                new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false, CacheStatus.NONE, 0,
                        null));
        director.nowUs += 2_000_000;
        int toRestarted = 0;
        for (int i = 0; i < 25; i++) {
            toRestarted += director.serve(7, CacheStatus.HIT).member().equals(restarted) ? 1 : 0;
        }
        assertTrue(toRestarted >= 1 && toRestarted < 12,
                toRestarted + " of 25 were sent to a cache that may have restarted");
    }

    @Test
    void pausesAfterOriginRejectedFill() {
        TestDirector director = TestDirector.create();
        SendVia sent = director.read(3);
        List<Action> next =
                director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.REJECTED, 9, false,
                        CacheStatus.ORIGIN_FAILED, 0, null));
        assertInstanceOf(SetTimer.class, next.get(next.size() - 1));
    }

    @Test
    void rejectsWorkThatNoCacheCouldServeInTime() {
        TestDirector director = TestDirector.create();
        int rejected = 0;
        for (int i = 0; i < 400; i++) {
            rejected += director.handle(director.request(0, i, 0)).get(0) instanceof Reject ? 1 : 0;
        }
        assertTrue(rejected > 200, rejected + " of 400 rejected at once");
        assertTrue(rejected < 390, "requests within the capacity are served");
    }

    @Test
    void handsHotObjectOverWithinItsTree() {
        TestDirector director = TestDirector.create();
        String home = director.serve(1, CacheStatus.FILLED).member();
        SendVia last = null;
        for (int i = 0; i < 40; i++) {
            last = director.read(1);
        }
        assertNotEquals(home, last.member());
        assertEquals(home, last.source(), "the source of the copy is a cache that has it");
    }

    @Test
    void bypassesCachesIfPermittedWhenLocationHasNone() {
        TestDirector withBypass = TestDirector.create();
        withBypass.handle(TestDirector.fullList(0));
        assertTrue(withBypass.read(5).member().startsWith("parent-"));
        TestDirector withoutBypass = new TestDirector(TestDirector.settings(false, CacheStatusDetail.ALL), 1);
        withoutBypass.handle(new MembersChanged(ListScope.FULL, List.of()));
        assertInstanceOf(SetTimer.class, withoutBypass.handle(withoutBypass.request(0, 5, 0)).get(0));
    }

    @Test
    void attributesFillErrorToSourceWithoutCacheStatus() {
        TestDirector director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.NONE), 7);
        director.handle(TestDirector.fullList(4));
        long object = objectWithParent(director, "parent-0");
        String home = director.read(object).member();
        for (int part = 1; part <= 2; part++) {
            SendVia sent = (SendVia) director.handle(director.request(0, object, part)).get(0);
            director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.ERROR, 1, false, CacheStatus.NONE,
                    0, null));
            director.handle(
                    new AttemptEnded(sent.request(), 1, sent.member(), Result.OK, 1, true, CacheStatus.NONE, 0, null));
        }
        SendVia next = (SendVia) director.handle(director.request(0, object, 9)).get(0);
        assertEquals(home, next.member(), "the cache remains in the ring");
        assertEquals("parent-1", next.source());
    }

    @Test
    void usesCacheWhenShareOfDirectorIsBelowOneTransfer() {
        TestDirector director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL, 30), 7);
        director.handle(TestDirector.fullList(4));
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += director.handle(director.request(0, i, 0)).get(0) instanceof SendVia ? 1 : 0;
            director.nowUs += 2_000_000;
        }
        assertEquals(20, sent);
    }

    @Test
    void doesNotCountHangingAttemptsAsLoad() {
        TestDirector director = TestDirector.create();
        int rejected = 0;
        for (int i = 0; i < 250; i++) {
            rejected += director.handle(director.request(0, i, 0)).get(0) instanceof Reject ? 1 : 0;
            director.nowUs += 40_000;
        }
        assertEquals(0, rejected,
                "25 requests per second of 0.1 s each, none answered, and caches with a capacity of 32");
    }

    @Test
    void retriesCacheAvoidedForLowLearnedLimit() {
        TestDirector director = TestDirector.create();
        director.handle(TestDirector.fullList(1));
        for (int i = 0; i < 8; i++) {
            SendVia sent = (SendVia) director.handle(director.largeRequest(i)).get(0);
            director.endAttempt(sent, 0, Result.OK, CacheStatus.HIT, 5_000_000);
            if (!(director.handle(director.largeRequest(100 + i)).get(0) instanceof SendVia)) {
                break;
            }
        }
        assertInstanceOf(Reject.class, director.handle(director.largeRequest(200)).get(0), "a low limit was learned");
        director.nowUs += 40_000_000;
        assertInstanceOf(SendVia.class, director.handle(director.largeRequest(201)).get(0));
    }

    @Test
    void shedsLoadFromFailingOrigin() {
        TestDirector director = TestDirector.create();
        for (int i = 0; i < 10; i++) {
            SendVia sent = director.read(i);
            director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.REJECTED, 9, false,
                    CacheStatus.ORIGIN_FAILED, 0, null));
        }
        int cachedOnly = 0;
        for (int i = 100; i < 120; i++) {
            cachedOnly += director.read(i).onlyIfCached() ? 1 : 0;
        }
        assertTrue(cachedOnly > 10, cachedOnly + " of 20 use only the parent's cached copy");
        SendVia sent = director.read(200);
        List<Action> next = director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.MISS, 9, false,
                CacheStatus.SOURCE_MISS, 0, null));
        assertInstanceOf(Reject.class, next.get(0), "not retried elsewhere");
        director.nowUs += 60_000_000;
        assertFalse(director.read(300).onlyIfCached(), "the origin is used again later");
    }

    @Test
    void limitsFillsOverSaturatedLink() {
        TestDirector director = TestDirector.create();
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            Action first = director.handle(director.largeRequest(i)).get(0);
            if (mayFill(first)) {
                sent++;
                director.endAttempt((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 5_000_000);
            }
        }
        assertTrue(sent < 20, sent + " of 30 fills were sent, each ten times slower than at full pace");
        assertInstanceOf(SendVia.class, director.handle(director.request(0, 0, 0)).get(0), "hits continue");
    }

    @Test
    void learnsOverloadFromOverdueFills() {
        TestDirector director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL, 8), 7);
        director.handle(TestDirector.fullList(1));
        director.endAttempt((SendVia) director.handle(director.largeRequest(0)).get(0), 0, Result.OK,
                CacheStatus.FILLED,
                550_000);
        int rejected = 0;
        for (int i = 1; i < 40; i++) {
            rejected += director.handle(director.largeRequest(i)).get(0) instanceof Reject ? 1 : 0;
            director.nowUs += 500_000;
        }
        assertTrue(rejected > 0, "overdue fills show an overload");
    }

    @Test
    void sendsOneTrialAtATimeToEjectedMember() {
        TestDirector director = TestDirector.create();
        String ejected = director.serve(7, CacheStatus.HIT).member();
        SendVia sent = director.read(7);
        director.handle(
                new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false, CacheStatus.NONE, 0,
                        null));
        director.nowUs += 1_500_000;
        int trials = 0;
        for (int part = 0; part < 30; part++) {
            SendVia next = (SendVia) director.handle(director.request(0, 7, part)).get(0);
            trials += next.member().equals(ejected) ? 1 : 0;
        }
        assertEquals(1, trials);
    }

    @Test
    void rejectedFillDoesNotAffectHitsOfItsCache() {
        TestDirector director = new TestDirector(TestDirector.settings(false, CacheStatusDetail.NONE), 7);
        director.handle(TestDirector.fullList(1));
        director.serve(1, CacheStatus.NONE);
        SendVia fill = director.read(2);
        director.handle(
                new AttemptEnded(fill.request(), 0, fill.member(), Result.REJECTED, 9, false, CacheStatus.NONE, 0,
                        null));
        assertFalse(mayFill(director.handle(director.request(0, 3, 0)).get(0)), "fills are delayed");
        assertInstanceOf(SendVia.class, director.handle(director.request(0, 1, 0)).get(0), "hits are not delayed");
    }

    @Test
    void smallRequestsDoNotPreventLimitFromRecovering() {
        TestDirector director = TestDirector.create();
        director.handle(TestDirector.fullList(1));
        for (int i = 0; i < 12; i++) {
            Action first = director.handle(director.largeRequest(i)).get(0);
            if (mayFill(first)) {
                director.endAttempt((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 5_000_000);
            }
        }
        assertFalse(mayFill(director.handle(director.largeRequest(50)).get(0)), "a low limit was learned");
        for (int i = 100; i < 140; i++) {
            Action first = director.handle(director.request(0, i, 0)).get(0);
            if (mayFill(first)) {
                director.endAttempt((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 110_000);
            }
            director.nowUs += 1_000_000;
        }
        assertTrue(mayFill(director.handle(director.largeRequest(200)).get(0)));
    }

    @Test
    void ejectsUnreachableCachesEvenIfTheyAreTheMajority() {
        TestDirector director = TestDirector.create();
        director.handle(TestDirector.fullList(3));
        int toUnreachable = 0;
        for (int i = 0; i < 60; i++) {
            SendVia sent = director.read(i);
            if (sent.member().equals("cache-0")) {
                director.endAttempt(sent, 0, Result.OK, CacheStatus.FILLED, 110_000);
            } else {
                toUnreachable++;
                director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false,
                        CacheStatus.NONE,
                        0, null));
            }
        }
        assertTrue(toUnreachable < 12, toUnreachable + " of 60 were sent to two unreachable caches");
    }

    @Test
    void countsLostConnectionAsOneFailure() {
        TestDirector director = TestDirector.create();
        String home = director.serve(7, CacheStatus.HIT).member();
        List<SendVia> sent = new ArrayList<>();
        for (int part = 1; part <= 6; part++) {
            sent.add((SendVia) director.handle(director.request(0, 7, part)).get(0));
        }
        for (SendVia each : sent) {
            director.handle(new AttemptEnded(each.request(), 0, each.member(), Result.CONNECTION_LOST, 1, false,
                    CacheStatus.NONE, 0, null));
        }
        SendVia next = (SendVia) director.handle(director.request(0, 7, 9)).get(0);
        assertEquals(home, next.member());
    }

    @Test
    void rejectsRequestAfterErrorsOfTwoCachesWithoutEjection() {
        TestDirector director = TestDirector.create();
        String home = director.serve(7, CacheStatus.HIT).member();
        for (int part = 1; part <= 6; part++) {
            SendVia first = (SendVia) director.handle(director.request(0, 7, part)).get(0);
            SendVia second = (SendVia) director.handle(errorOf(first, 0)).get(0);
            assertNotEquals(first.member(), second.member());
            assertInstanceOf(Reject.class, director.handle(errorOf(second, 1)).get(0), "no third attempt");
        }
        assertEquals(home, director.serve(7, CacheStatus.HIT).member());
    }

    @Test
    void ejectsCacheThatFailsRequestsOthersServe() {
        TestDirector director = TestDirector.create();
        String home = director.serve(7, CacheStatus.HIT).member();
        for (int part = 1; part <= 2; part++) {
            SendVia second =
                    (SendVia) director.handle(errorOf((SendVia) director.handle(director.request(0, 7, part)).get(0),
                            0)).get(0);
            director.endAttempt(second, 1, Result.OK, CacheStatus.FILLED, 1);
        }
        assertNotEquals(home, ((SendVia) director.handle(director.request(0, 7, 9)).get(0)).member());
    }

    private static AttemptEnded errorOf(SendVia sent, int attempt) {
        return new AttemptEnded(sent.request(), attempt, sent.member(), Result.ERROR, 1, false, CacheStatus.NONE, 0,
                null);
    }

    @Test
    void rejectsRequestWithoutUsableMemberWithinHalfItsTimeout() {
        TestDirector director = new TestDirector(TestDirector.settings(false, CacheStatusDetail.ALL), 1);
        director.handle(new MembersChanged(ListScope.FULL, List.of()));
        Action next = director.handle(director.request(0, 5, 0)).get(0);
        long start = director.nowUs;
        while (next instanceof SetTimer timer) {
            director.nowUs += timer.delayUs();
            next = director.handle(new TimerExpired(timer.token())).get(0);
        }
        assertInstanceOf(Reject.class, next);
        assertTrue(director.nowUs - start <= 3_000_000, "timeout 6 s, rejected after us: " + (director.nowUs - start));
    }

    @Test
    void hedgesOverdueRequestAtAnotherCache() {
        TestDirector director = TestDirector.create();
        for (int i = 0; i < 40; i++) {
            director.serve(i, CacheStatus.HIT);
        }
        SendVia first = (SendVia) director.handle(director.request(0, 7, 1)).get(0);
        director.nowUs += 2_000_000;
        SendVia second = (SendVia) director.handle(director.request(0, 8, 1)).get(1);
        assertEquals(first.request(), second.request());
        assertNotEquals(first.member(), second.member());
        assertEquals(0, second.rank(), "the hedge caches no copy");
        List<Action> after = director.handle(new AttemptEnded(second.request(), 1, second.member(), Result.OK, 9, true,
                CacheStatus.FILLED, 0, null));
        assertEquals(List.of(new Cancel(first.request(), 0)), after, "the first attempt is cancelled");
    }
}
