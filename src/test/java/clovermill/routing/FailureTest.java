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

/** Failures that were found on the bench, each as a small script of events. */
class FailureTest {

    /** An object whose fills come from the given parent. */
    private static long objectOf(Director director, String parent) {
        long object = 1000;
        while (!director.served(object, CacheStatus.FILLED).source().equals(parent)) {
            object++;
        }
        return object;
    }

    /** Whether a request was sent with a source for a miss, not only asked of what its cache holds. */
    private static boolean mayFill(Action action) {
        return action instanceof SendVia sent && !sent.source().equals(sent.member());
    }

    private static void failFill(Director director, long object, int part) {
        SendVia sent = (SendVia) director.tell(director.request(0, object, part)).get(0);
        director.now += 1;
        director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.ERROR, 1, false,
                CacheStatus.SOURCE_UNREACHABLE, 0, null));
    }

    @Test
    void oneSickParentOfTwoLeavesTheRing() {
        Director director = Director.ready();
        long object = objectOf(director, "parent-0");
        for (int part = 1; part <= 2; part++) {
            failFill(director, object, part);
        }
        SendVia next = (SendVia) director.tell(director.request(0, object, 9)).get(0);
        assertEquals("parent-1", next.source());
    }

    @Test
    void aCacheThatAnswersAgainAfterItWasLostCountsAsCold() {
        Director director = Director.ready();
        for (int object = 0; object < 60; object++) {
            director.served(object, CacheStatus.HIT);
        }
        String lost = director.served(7, CacheStatus.HIT).member();
        SendVia sent = director.read(7);
        director.tell(
                new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false, CacheStatus.NONE, 0,
                        null));
        director.now += 2_000_000;
        int toLost = 0;
        for (int i = 0; i < 25; i++) {
            toLost += director.served(7, CacheStatus.HIT).member().equals(lost) ? 1 : 0;
        }
        assertTrue(toLost >= 1 && toLost < 12, toLost + " of 25 went to a cache that may have restarted");
    }

    @Test
    void aFillThatTheOriginTurnedAwayIsNotRepeatedAtOnce() {
        Director director = Director.ready();
        SendVia sent = director.read(3);
        List<Action> next = director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.REJECTED, 9, false,
                CacheStatus.ORIGIN_FAILED, 0, null));
        assertInstanceOf(SetTimer.class, next.get(next.size() - 1));
    }

    @Test
    void workThatNoCacheCouldDoInTimeIsRefused() {
        Director director = Director.ready();
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            refused += director.tell(director.request(0, i, 0)).get(0) instanceof Reject ? 1 : 0;
        }
        assertTrue(refused > 200, refused + " of 400 refused at once");
        assertTrue(refused < 390, "what fits is served");
    }

    @Test
    void aHotObjectIsHandedOverWithinItsTree() {
        Director director = Director.ready();
        String home = director.served(1, CacheStatus.FILLED).member();
        SendVia last = null;
        for (int i = 0; i < 40; i++) {
            last = director.read(1);
        }
        assertNotEquals(home, last.member());
        assertEquals(home, last.source(), "the copy comes from the holder");
    }

    @Test
    void aLocationWithoutCachesGoesStraightOrIsRefused() {
        Director straight = Director.ready();
        straight.tell(Director.fleet(0));
        assertTrue(straight.read(5).member().startsWith("parent-"));
        Director shut = new Director(Director.settings(false, CacheStatusDetail.ALL), 1);
        shut.tell(new MembersChanged(ListScope.FULL, List.of()));
        assertInstanceOf(SetTimer.class, shut.tell(shut.request(0, 5, 0)).get(0));
    }

    @Test
    void whereNothingIsToldAnErrorOfAFillSpeaksAgainstItsSource() {
        Director director = new Director(Director.settings(true, CacheStatusDetail.NONE), 7);
        director.tell(Director.fleet(4));
        long object = objectOf(director, "parent-0");
        String home = director.read(object).member();
        for (int part = 1; part <= 2; part++) {
            SendVia sent = (SendVia) director.tell(director.request(0, object, part)).get(0);
            director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.ERROR, 1, false, CacheStatus.NONE,
                    0, null));
            director.tell(
                    new AttemptEnded(sent.request(), 1, sent.member(), Result.OK, 1, true, CacheStatus.NONE, 0, null));
        }
        SendVia next = (SendVia) director.tell(director.request(0, object, 9)).get(0);
        assertEquals(home, next.member(), "the cache stays in the ring");
        assertEquals("parent-1", next.source());
    }

    @Test
    void withManyFellowsAShareOfACacheUnderOneTransferIsStillUsed() {
        Director director = new Director(Director.settings(true, CacheStatusDetail.ALL, 30), 7);
        director.tell(Director.fleet(4));
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += director.tell(director.request(0, i, 0)).get(0) instanceof SendVia ? 1 : 0;
            director.now += 2_000_000;
        }
        assertEquals(20, sent);
    }

    @Test
    void answersThatNeverArriveAreNotTakenForTransfers() {
        Director director = Director.ready();
        int refused = 0;
        for (int i = 0; i < 250; i++) {
            refused += director.tell(director.request(0, i, 0)).get(0) instanceof Reject ? 1 : 0;
            director.now += 40_000;
        }
        assertEquals(0, refused, "25 a second of a tenth each, none answered, and caches with room for 32");
    }

    @Test
    void aCacheThatWasLeftAloneForItsLittleRoomIsTriedAgain() {
        Director director = Director.ready();
        director.tell(Director.fleet(1));
        for (int i = 0; i < 8; i++) {
            SendVia sent = (SendVia) director.tell(director.bigRequest(i)).get(0);
            director.answer(sent, 0, Result.OK, CacheStatus.HIT, 5_000_000);
            if (!(director.tell(director.bigRequest(100 + i)).get(0) instanceof SendVia)) {
                break;
            }
        }
        assertInstanceOf(Reject.class, director.tell(director.bigRequest(200)).get(0), "no room was learned");
        director.now += 40_000_000;
        assertInstanceOf(SendVia.class, director.tell(director.bigRequest(201)).get(0));
    }

    @Test
    void anOriginThatFailsIsSpared() {
        Director director = Director.ready();
        for (int i = 0; i < 10; i++) {
            SendVia sent = director.read(i);
            director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.REJECTED, 9, false,
                    CacheStatus.ORIGIN_FAILED, 0, null));
        }
        int spared = 0;
        for (int i = 100; i < 120; i++) {
            spared += director.read(i).onlyIfCached() ? 1 : 0;
        }
        assertTrue(spared > 10, spared + " of 20 take only what the parent holds");
        SendVia sent = director.read(200);
        List<Action> next = director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.MISS, 9, false,
                CacheStatus.SOURCE_MISS, 0, null));
        assertInstanceOf(Reject.class, next.get(0), "and are not tried elsewhere");
        director.now += 60_000_000;
        assertFalse(director.read(300).onlyIfCached(), "later it is asked again");
    }

    @Test
    void fillsThatCrowdTheLinkAreRefusedWhateverTheirParent() {
        Director director = Director.ready();
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            Action first = director.tell(director.bigRequest(i)).get(0);
            if (mayFill(first)) {
                sent++;
                director.answer((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 5_000_000);
            }
        }
        assertTrue(sent < 20, sent + " of 30 fills were sent, each ten times as long as its size asks for");
        assertInstanceOf(SendVia.class, director.tell(director.request(0, 0, 0)).get(0), "hits go on");
    }

    @Test
    void aJamIsLearnedThoughNothingIsAnswered() {
        Director director = new Director(Director.settings(true, CacheStatusDetail.ALL, 8), 7);
        director.tell(Director.fleet(1));
        director.answer((SendVia) director.tell(director.bigRequest(0)).get(0), 0, Result.OK, CacheStatus.FILLED,
                550_000);
        int refused = 0;
        for (int i = 1; i < 40; i++) {
            refused += director.tell(director.bigRequest(i)).get(0) instanceof Reject ? 1 : 0;
            director.now += 500_000;
        }
        assertTrue(refused > 0, "fills that stay out past their wanted time tell of a jam");
    }

    @Test
    void aSickMemberIsTriedWithOneRequestAtATime() {
        Director director = Director.ready();
        String sick = director.served(7, CacheStatus.HIT).member();
        SendVia sent = director.read(7);
        director.tell(
                new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false, CacheStatus.NONE, 0,
                        null));
        director.now += 1_500_000;
        int trials = 0;
        for (int part = 0; part < 30; part++) {
            SendVia next = (SendVia) director.tell(director.request(0, 7, part)).get(0);
            trials += next.member().equals(sick) ? 1 : 0;
        }
        assertEquals(1, trials);
    }

    @Test
    void anExpectedFillThatIsTurnedAwayLeavesTheHitsOfItsCacheAlone() {
        Director director = new Director(Director.settings(false, CacheStatusDetail.NONE), 7);
        director.tell(Director.fleet(1));
        director.served(1, CacheStatus.NONE);
        SendVia fill = director.read(2);
        director.tell(new AttemptEnded(fill.request(), 0, fill.member(), Result.REJECTED, 9, false, CacheStatus.NONE, 0,
                null));
        assertFalse(mayFill(director.tell(director.request(0, 3, 0)).get(0)), "fills wait");
        assertInstanceOf(SendVia.class, director.tell(director.request(0, 1, 0)).get(0), "hits do not");
    }

    @Test
    void smallWorkDoesNotKeepLittleRoomFromGrowing() {
        Director director = Director.ready();
        director.tell(Director.fleet(1));
        for (int i = 0; i < 12; i++) {
            Action first = director.tell(director.bigRequest(i)).get(0);
            if (mayFill(first)) {
                director.answer((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 5_000_000);
            }
        }
        assertFalse(mayFill(director.tell(director.bigRequest(50)).get(0)), "little room was learned");
        for (int i = 100; i < 140; i++) {
            Action first = director.tell(director.request(0, i, 0)).get(0);
            if (mayFill(first)) {
                director.answer((SendVia) first, 0, Result.OK, CacheStatus.FILLED, 110_000);
            }
            director.now += 1_000_000;
        }
        assertTrue(mayFill(director.tell(director.bigRequest(200)).get(0)));
    }

    @Test
    void cachesThatCannotBeReachedLeaveEvenIfMostAreSo() {
        Director director = Director.ready();
        director.tell(Director.fleet(3));
        int toDead = 0;
        for (int i = 0; i < 60; i++) {
            SendVia sent = director.read(i);
            if (sent.member().equals("cache-0")) {
                director.answer(sent, 0, Result.OK, CacheStatus.FILLED, 110_000);
            } else {
                toDead++;
                director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.CONNECT_FAILED, 1, false,
                        CacheStatus.NONE,
                        0, null));
            }
        }
        assertTrue(toDead < 12, toDead + " of 60 went to two caches that could not be reached");
    }

    @Test
    void whatABrokenConnectionEndsIsOneFailureOfAMemberThatStays() {
        Director director = Director.ready();
        String home = director.served(7, CacheStatus.HIT).member();
        List<SendVia> sent = new ArrayList<>();
        for (int part = 1; part <= 6; part++) {
            sent.add((SendVia) director.tell(director.request(0, 7, part)).get(0));
        }
        for (SendVia each : sent) {
            director.tell(new AttemptEnded(each.request(), 0, each.member(), Result.CONNECTION_LOST, 1, false,
                    CacheStatus.NONE, 0, null));
        }
        SendVia next = (SendVia) director.tell(director.request(0, 7, 9)).get(0);
        assertEquals(home, next.member());
    }

    @Test
    void aRequestThatTwoCachesErrOnIsAtFaultAndTheCachesStay() {
        Director director = Director.ready();
        String home = director.served(7, CacheStatus.HIT).member();
        for (int part = 1; part <= 6; part++) {
            SendVia first = (SendVia) director.tell(director.request(0, 7, part)).get(0);
            SendVia second = (SendVia) director.tell(erred(first, 0)).get(0);
            assertNotEquals(first.member(), second.member());
            assertInstanceOf(Reject.class, director.tell(erred(second, 1)).get(0), "no third attempt");
        }
        assertEquals(home, director.served(7, CacheStatus.HIT).member());
    }

    @Test
    void aCacheThatErrsOnWhatOthersServeLeavesTheRing() {
        Director director = Director.ready();
        String home = director.served(7, CacheStatus.HIT).member();
        for (int part = 1; part <= 2; part++) {
            SendVia second = (SendVia) director.tell(erred((SendVia) director.tell(director.request(0, 7, part)).get(0),
                    0)).get(0);
            director.answer(second, 1, Result.OK, CacheStatus.FILLED, 1);
        }
        assertNotEquals(home, ((SendVia) director.tell(director.request(0, 7, 9)).get(0)).member());
    }

    private static AttemptEnded erred(SendVia sent, int attempt) {
        return new AttemptEnded(sent.request(), attempt, sent.member(), Result.ERROR, 1, false, CacheStatus.NONE, 0,
                null);
    }

    @Test
    void aRequestForWhichNoMemberIsLeftIsTurnedAwayInTheFirstHalfOfItsTime() {
        Director director = new Director(Director.settings(false, CacheStatusDetail.ALL), 1);
        director.tell(new MembersChanged(ListScope.FULL, List.of()));
        Action next = director.tell(director.request(0, 5, 0)).get(0);
        long start = director.now;
        while (next instanceof SetTimer timer) {
            director.now += timer.delayUs();
            next = director.tell(new TimerExpired(timer.token())).get(0);
        }
        assertInstanceOf(Reject.class, next);
        assertTrue(director.now - start <= 3_000_000, "of six seconds, after " + (director.now - start));
    }

    @Test
    void aRequestWhoseAnswerIsOverdueIsSentToAnotherCacheToo() {
        Director director = Director.ready();
        for (int i = 0; i < 40; i++) {
            director.served(i, CacheStatus.HIT);
        }
        SendVia first = (SendVia) director.tell(director.request(0, 7, 1)).get(0);
        director.now += 2_000_000;
        SendVia second = (SendVia) director.tell(director.request(0, 8, 1)).get(1);
        assertEquals(first.request(), second.request());
        assertNotEquals(first.member(), second.member());
        assertEquals(0, second.rank(), "the second copy leaves nothing behind");
        List<Action> after = director.tell(new AttemptEnded(second.request(), 1, second.member(), Result.OK, 9, true,
                CacheStatus.FILLED, 0, null));
        assertEquals(List.of(new Cancel(first.request(), 0)), after, "nobody waits for the first");
    }
}
