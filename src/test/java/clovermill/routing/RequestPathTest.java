package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The path of requests without failures or overload. */
class RequestPathTest {

    @Test
    void servesUnpopularObjectFromItsHome() {
        TestDirector director = TestDirector.create();
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 7; i++) {
            used.add(director.serve(42, i == 0 ? CacheStatus.FILLED : CacheStatus.HIT).member());
        }
        assertEquals(1, used.size());
    }

    @Test
    void copiesHotObjectFromCacheThatHasIt() {
        int spread = 0;
        for (long object = 0; object < 20; object++) {
            TestDirector director = TestDirector.create();
            SendVia home = director.serve(object, CacheStatus.FILLED);
            Set<String> used = new HashSet<>(Set.of(home.member()));
            for (int i = 0; i < 60; i++) {
                SendVia sent = director.read(object);
                if (used.add(sent.member())) {
                    assertTrue(used.contains(sent.source()),
                            "the source of a copy is a cache that has the part");
                    assertNotEquals(0, sent.rank());
                }
                director.endAttempt(sent, 0, Result.OK, CacheStatus.HIT, 110_000);
            }
            spread += used.size() > 1 ? 1 : 0;
        }
        assertTrue(spread >= 15, spread + " of 20 spread; only trees on a single cache may not");
    }

    @Test
    void movesOnlyObjectsOfRemovedCache() {
        TestDirector four = TestDirector.create();
        TestDirector three = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL), 7);
        three.handle(TestDirector.fullList(3));
        int moved = 0;
        int atRemoved = 0;
        for (long object = 0; object < 400; object++) {
            String before = four.serve(object, CacheStatus.FILLED).member();
            String after = three.serve(object, CacheStatus.FILLED).member();
            atRemoved += before.equals("cache-3") ? 1 : 0;
            moved += before.equals(after) ? 0 : 1;
        }
        assertEquals(atRemoved, moved, "only the objects of the removed cache may move");
        assertTrue(atRemoved > 40 && atRemoved < 180,
                "about a quarter of the objects were at the removed cache: " + atRemoved);
    }

    @Test
    void selectsSameParentFromEveryLocation() {
        Settings here = TestDirector.settings(true, CacheStatusDetail.ALL);
        TestDirector one = TestDirector.create();
        Settings there = new Settings(1, 2, 2, here.classes(), here.directorsByZone(), here.hubByZone(),
                here.parentKind(),
                here.originKind(), here.paceKbPerS(), here.weighted(), here.siblings(), here.cacheStatusDetail(),
                here.slowStart(),
                here.parentSlowStart(), here.drainGraceUs(), here.answerSlackUs(), here.purgeNoticeUs(),
                here.purgeCompletionUs(),
                here.dialTimeoutUs(), here.listOnRequest(), here.fetchMembersWithinUs(), here.originOverloadMultiple(),
                here.originOverloadWindowUs(), here.linkKbPerS(), here.capabilities());
        TestDirector other = new TestDirector(there, 99);
        other.handle(TestDirector.fullList(4));
        Map<String, Integer> parents = new HashMap<>();
        for (long object = 0; object < 100; object++) {
            String parent = one.serve(object, CacheStatus.FILLED).source();
            assertEquals(parent, other.serve(object, CacheStatus.FILLED).source());
            parents.merge(parent, 1, Integer::sum);
        }
        assertEquals(Set.of("parent-0", "parent-1"), parents.keySet());
    }

    @Test
    void equalEventsResultInEqualActions() {
        TestDirector one = TestDirector.create();
        TestDirector noise = TestDirector.create();
        TestDirector two = TestDirector.create();
        for (int i = 0; i < 300; i++) {
            noise.serve(i * 7919L % 31, CacheStatus.HIT);
            assertEquals(one.serve(i % 13, CacheStatus.HIT), two.serve(i % 13, CacheStatus.HIT));
        }
    }
}
