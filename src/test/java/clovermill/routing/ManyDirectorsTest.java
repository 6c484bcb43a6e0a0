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

/** Decisions that are harmful only if many directors make them, or that few requests reveal too late. */
class ManyDirectorsTest {

    private static TestDirector directorAmong(int directorCount) {
        TestDirector director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL, directorCount), 7);
        director.handle(TestDirector.fullList(4));
        return director;
    }

    /** Sends a request for a large part and reports its fill; returns null if the director rejected it. */
    private static SendVia serveFill(TestDirector director, long object, CacheStatus cacheStatus, long elapsedUs) {
        if (!(director.handle(director.largeRequest(object)).get(0) instanceof SendVia sent)) {
            return null;
        }
        director.endAttempt(sent, 0, Result.OK, cacheStatus, elapsedUs);
        return sent;
    }

    private static boolean isWithoutFill(SendVia sent) {
        return sent.source().equals(sent.member());
    }

    /** Returns a director that has seen only late fills from hubs, so that no fill would be in time. */
    private static TestDirector directorWithLateFills() {
        TestDirector director = directorAmong(5);
        for (int i = 0; i < 40; i++) {
            serveFill(director, i, CacheStatus.FILLED, 4_000_000);
        }
        return director;
    }

    private static SendVia firstRequestWithoutFill(TestDirector director) {
        for (int i = 1000; i < 1200; i++) {
            if (director.handle(director.largeRequest(i)).get(0) instanceof SendVia sent && isWithoutFill(sent)) {
                return sent;
            }
        }
        throw new AssertionError("no request was sent without a fill");
    }

    @Test
    void requestsCachedCopyWhenNoFillWouldBeInTime() {
        TestDirector director = directorWithLateFills();
        SendVia sent = firstRequestWithoutFill(director);
        assertTrue(sent.member().startsWith("cache-"));
        assertEquals(List.of(), director.endAttempt(sent, 0, Result.OK, CacheStatus.HIT, 500_000), "served");
    }

    @Test
    void rejectsAtOnceWhenCacheWithoutFillMisses() {
        TestDirector director = directorWithLateFills();
        SendVia sent = firstRequestWithoutFill(director);
        List<Action> next = director.endAttempt(sent, 0, Result.MISS, CacheStatus.NONE, 2_000);
        assertEquals(1, next.size());
        assertInstanceOf(Reject.class, next.get(0));
    }

    @Test
    void slowOriginIsNotMistakenForLoadedHubs() {
        TestDirector director = directorAmong(5);
        int cachedOnly = 0;
        for (int i = 0; i < 60; i++) {
            SendVia sent = (SendVia) director.handle(director.largeRequest(i)).get(0);
            assertTrue(!isWithoutFill(sent), "the hubs have capacity");
            if (sent.onlyIfCached()) {
                cachedOnly++;
                director.endAttempt(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            } else {
                director.nowUs += 100_000;
                for (int j = 1000; j < 1012; j++) {
                    serveFill(director, 100 * j + i, CacheStatus.FILLED, 520_000); // cached at the hubs
                }
                director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 6_340_000, true,
                        CacheStatus.FILLED_FROM_ORIGIN, 5_800_000, null));
            }
        }
        assertTrue(cachedOnly > 5 && cachedOnly < 58, cachedOnly + " of 60 used only the cached copy of a hub");
    }

    @Test
    void slowHubIsNotMistakenForSlowOrigin() {
        TestDirector director = directorAmong(5);
        for (int i = 0; i < 40; i++) {
            if (director.handle(director.largeRequest(i)).get(0) instanceof SendVia sent && !isWithoutFill(sent)) {
                director.nowUs += 4_000_000;
                director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 4_000_000, true,
                        CacheStatus.FILLED_FROM_ORIGIN, 60_000, null));
            }
        }
        for (int i = 100; i < 140; i++) {
            if (director.handle(director.request(0, i, 0)).get(0) instanceof SendVia sent) {
                assertTrue(!sent.onlyIfCached(), "the origin answered at once");
            }
        }
    }

    /** Returns the first {@code count} objects from a number on that are filled from the given hub. */
    private static List<Long> objectsWithParent(String hub, long from, int count) {
        TestDirector fresh = TestDirector.create();
        return LongStream.iterate(from, object -> object + 1)
                .filter(object -> fresh.serve(object, CacheStatus.FILLED).source().equals(hub)).limit(count).boxed()
                .toList();
    }

    @Test
    void loadAtOneHubDoesNotAffectTheOther() {
        TestDirector director = directorAmong(5);
        director.handle(TestDirector.fullList(16));
        for (long object : objectsWithParent("parent-1", 0, 3)) {
            serveFill(director, object, CacheStatus.FILLED, 1_000_000); // low capacity: transfers take twice as long
        }
        List<Long> others = objectsWithParent("parent-0", 1000, 200);
        List<SendVia> out = new ArrayList<>();
        for (long object : others) {
            if (director.handle(director.largeRequest(object)).get(0) instanceof SendVia sent) {
                out.add(sent);
            }
            if (out.size() > 4) {
                SendVia ended = out.remove(0);
                director.handle(new AttemptEnded(ended.request(), 0, ended.member(), Result.OK, 510_000, true,
                        CacheStatus.FILLED,
                        0, null));
            }
            director.nowUs += 50_000;
        }
        int fills = 0;
        for (long object : objectsWithParent("parent-1", 5000, 10)) {
            if (director.handle(director.largeRequest(object)).get(0) instanceof SendVia sent) {
                fills += sent.source().equals("parent-1") ? 1 : 0;
                director.endAttempt(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            }
        }
        assertTrue(fills > 7, fills + " of 10 fills used the idle hub");
    }

    @Test
    void detectsHubThatIsLateOnlyWithLargeParts() {
        TestDirector director = directorAmong(5);
        List<Long> small = objectsWithParent("parent-0", 5000, 12);
        List<SendVia> toSlow = new ArrayList<>();
        for (int i = 0; i < 300 && toSlow.size() < 12; i++) {
            SendVia sent = (SendVia) director.handle(director.largeRequest(i)).get(0);
            if (sent.source().equals("parent-0")) {
                director.serve(small.get(toSlow.size()), CacheStatus.FILLED);
                toSlow.add(sent);
            } else {
                director.endAttempt(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
            }
        }
        int toLateHub = 0;
        for (int i = 1000; i < 1040; i++) {
            if (director.handle(director.largeRequest(i)).get(0) instanceof SendVia sent) {
                toLateHub += sent.source().equals("parent-0") ? 1 : 0;
                if (!sent.source().equals("parent-0")) {
                    director.endAttempt(sent, 0, Result.OK, CacheStatus.FILLED, 520_000);
                }
            }
        }
        assertTrue(toLateHub < 8, toLateHub + " of 40 still used the late hub");
    }

    @Test
    void bypassesCachesWhileAllAreInSlowStart() {
        TestDirector director = directorAmong(3);
        for (int i = 0; i < 30; i++) {
            serveFill(director, i, CacheStatus.FILLED, 520_000);
        }
        List<Member> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(TestDirector.with(TestDirector.cache(i), Availability.HEALTHY, director.nowUs));
        }
        director.handle(new MembersChanged(ListScope.CHANGES, cold));
        int bypassed = 0;
        for (int i = 100; i < 130; i++) {
            if (director.handle(director.largeRequest(i)).get(0) instanceof SendVia sent
                    && sent.member().startsWith("parent-")) {
                bypassed++;
                director.endAttempt(sent, 0, Result.OK, CacheStatus.HIT, 510_000);
            }
            director.nowUs += 10_000;
        }
        assertTrue(bypassed > 5, bypassed + " were sent directly to a hub while the caches were cold");
    }
}
