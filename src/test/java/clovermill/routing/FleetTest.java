package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** What is fine alone and hurts when many directors do it, or is learned too late from few requests. */
class FleetTest {

    private static Director crowded(int crew) {
        Director director = new Director(Director.settings(true, CacheStatusDetail.ALL, crew), 7);
        director.tell(Director.fleet(4));
        return director;
    }

    /** Sends a large part and reports how its fill went; null if the director refused it. */
    private static SendVia fill(Director director, long object, CacheStatus cacheStatus, long elapsedUs) {
        if (!(director.tell(director.bigRequest(object)).get(0) instanceof SendVia sent)) {
            return null;
        }
        director.answer(sent, 0, Result.OK, cacheStatus, elapsedUs);
        return sent;
    }

    private static boolean asksForHeld(SendVia sent) {
        return sent.source().equals(sent.member());
    }

    /** A director that has seen nothing but late fills from hubs: no fill would come in time. */
    private static Director withJammedHubs() {
        Director director = crowded(5);
        for (int i = 0; i < 40; i++) {
            fill(director, i, CacheStatus.FILLED, 4_000_000);
        }
        return director;
    }

    private static SendVia firstAskForHeld(Director director) {
        for (int i = 1000; i < 1200; i++) {
            if (director.tell(director.bigRequest(i)).get(0) instanceof SendVia sent && asksForHeld(sent)) {
                return sent;
            }
        }
        throw new AssertionError("nothing was asked of a cache without a fill");
    }

    @Test
    void whereNoFillComesInTimeACacheIsAskedForWhatItHolds() {
        Director director = withJammedHubs();
        SendVia sent = firstAskForHeld(director);
        assertTrue(sent.member().startsWith("cache-"));
        assertEquals(List.of(), director.answer(sent, 0, Result.OK, CacheStatus.HIT, 500_000), "served");
    }

    @Test
    void aCacheThatHoldsNothingThenEndsTheRequestAtOnce() {
        Director director = withJammedHubs();
        SendVia sent = firstAskForHeld(director);
        List<Action> next = director.answer(sent, 0, Result.MISS, CacheStatus.NONE, 2_000);
        assertEquals(1, next.size());
        assertInstanceOf(Reject.class, next.get(0));
    }

    @Test
    void aSlowOriginIsSparedAndNotTakenForCrowdedHubs() {
        Director director = crowded(5);
        int held = 0;
        for (int i = 0; i < 60; i++) {
            SendVia sent = (SendVia) director.tell(director.bigRequest(i)).get(0);
            assertTrue(!asksForHeld(sent), "the hubs have room");
            if (sent.onlyIfCached()) {
                held++;
                director.answer(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            } else {
                director.now += 100_000;
                for (int j = 1000; j < 1012; j++) {
                    fill(director, 100 * j + i, CacheStatus.FILLED, 520_000); // what the hubs hold comes as ever
                }
                director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 6_340_000, true,
                        CacheStatus.FILLED_FROM_ORIGIN, 5_800_000, null));
            }
        }
        assertTrue(held > 5 && held < 58, held + " of 60 asked only for what a hub holds");
    }

    @Test
    void aSlowHubIsNotTakenForASlowOrigin() {
        Director director = crowded(5);
        for (int i = 0; i < 40; i++) {
            if (director.tell(director.bigRequest(i)).get(0) instanceof SendVia sent && !asksForHeld(sent)) {
                director.now += 4_000_000;
                director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 4_000_000, true,
                        CacheStatus.FILLED_FROM_ORIGIN, 60_000, null));
            }
        }
        for (int i = 100; i < 140; i++) {
            if (director.tell(director.request(0, i, 0)).get(0) instanceof SendVia sent) {
                assertTrue(!sent.onlyIfCached(), "the origin answered at once");
            }
        }
    }

    /** The first objects from a number on whose fills come from the given hub. */
    private static List<Long> objectsOf(String hub, long from, int count) {
        Director fresh = Director.ready();
        return LongStream.iterate(from, object -> object + 1)
                .filter(object -> fresh.served(object, CacheStatus.FILLED).source().equals(hub)).limit(count).boxed()
                .toList();
    }

    @Test
    void whatThisDirectorHasOutAtOneHubSaysNothingOfTheOther() {
        Director director = crowded(5);
        director.tell(Director.fleet(16));
        for (long object : objectsOf("parent-1", 0, 3)) {
            fill(director, object, CacheStatus.FILLED, 1_000_000); // low capacity: one transfer takes twice its time
        }
        List<Long> others = objectsOf("parent-0", 1000, 200);
        List<SendVia> out = new ArrayList<>();
        for (long object : others) {
            if (director.tell(director.bigRequest(object)).get(0) instanceof SendVia sent) {
                out.add(sent);
            }
            if (out.size() > 4) {
                SendVia ended = out.remove(0);
                director.tell(new AttemptEnded(ended.request(), 0, ended.member(), Result.OK, 510_000, true,
                        CacheStatus.FILLED,
                        0, null));
            }
            director.now += 50_000;
        }
        int fills = 0;
        for (long object : objectsOf("parent-1", 5000, 10)) {
            if (director.tell(director.bigRequest(object)).get(0) instanceof SendVia sent) {
                fills += sent.source().equals("parent-1") ? 1 : 0;
                director.answer(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            }
        }
        assertTrue(fills > 7, fills + " of 10 fills came from the hub with nothing to do");
    }

    @Test
    void aHubThatIsLateWithLargePartsIsNoticedThoughSmallOnesAndAnotherAnswer() {
        Director director = crowded(5);
        List<Long> small = objectsOf("parent-0", 5000, 12);
        List<SendVia> toSlow = new ArrayList<>();
        for (int i = 0; i < 300 && toSlow.size() < 12; i++) {
            SendVia sent = (SendVia) director.tell(director.bigRequest(i)).get(0);
            if (sent.source().equals("parent-0")) {
                director.served(small.get(toSlow.size()), CacheStatus.FILLED);
                toSlow.add(sent);
            } else {
                director.answer(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            }
        }
        int later = 0;
        for (int i = 1000; i < 1040; i++) {
            if (director.tell(director.bigRequest(i)).get(0) instanceof SendVia sent) {
                later += sent.source().equals("parent-0") ? 1 : 0;
                if (!sent.source().equals("parent-0")) {
                    director.answer(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
                }
            }
        }
        assertTrue(later < 8, later + " of 40 still went to the hub that is late");
    }

    @Test
    void whereAllCachesAreColdARequestGoesStraightToAHub() {
        Director director = crowded(3);
        for (int i = 0; i < 30; i++) {
            fill(director, i, CacheStatus.FILLED, 520_000);
        }
        List<Member> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(Director.with(Director.cache(i), Availability.HEALTHY, director.now));
        }
        director.tell(new MembersChanged(ListScope.CHANGES, cold));
        int straight = 0;
        for (int i = 100; i < 130; i++) {
            if (director.tell(director.bigRequest(i)).get(0) instanceof SendVia sent
                    && sent.member().startsWith("parent-")) {
                straight++;
                director.answer(sent, 0, Result.OK, CacheStatus.HIT, 510_000);
            }
            director.now += 10_000;
        }
        assertTrue(straight > 5, straight + " went straight to a hub while the caches are cold");
    }
}
