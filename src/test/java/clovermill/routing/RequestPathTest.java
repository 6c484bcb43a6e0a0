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

/** The ordinary path of the design. */
class RequestPathTest {

    @Test
    void aColdObjectStaysAtItsHome() {
        Director director = Director.ready();
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 7; i++) {
            used.add(director.served(42, i == 0 ? CacheStatus.FILLED : CacheStatus.HIT).member());
        }
        assertEquals(1, used.size());
    }

    @Test
    void aHotObjectReachesTwoCachesAndItsCopyComesFromAHolder() {
        int spread = 0;
        for (long object = 0; object < 20; object++) {
            Director director = Director.ready();
            SendVia home = director.served(object, CacheStatus.FILLED);
            Set<String> used = new HashSet<>(Set.of(home.member()));
            for (int i = 0; i < 60; i++) {
                SendVia sent = director.read(object);
                if (used.add(sent.member())) {
                    assertTrue(used.contains(sent.source()),
                            "a promoted copy is filled by a believed holder");
                    assertNotEquals(0, sent.rank());
                }
                director.answer(sent, 0, Result.OK, CacheStatus.HIT, 110_000);
            }
            spread += used.size() > 1 ? 1 : 0;
        }
        assertTrue(spread >= 15, spread + " of 20 spread; only trees on a single cache may stay");
    }

    @Test
    void fewObjectsMoveWhenACacheGoes() {
        Director four = Director.ready();
        Director three = new Director(Director.settings(true, CacheStatusDetail.ALL), 7);
        three.tell(Director.fleet(3));
        int moved = 0;
        int lost = 0;
        for (long object = 0; object < 400; object++) {
            String before = four.served(object, CacheStatus.FILLED).member();
            String after = three.served(object, CacheStatus.FILLED).member();
            lost += before.equals("cache-3") ? 1 : 0;
            moved += before.equals(after) ? 0 : 1;
        }
        assertEquals(lost, moved, "only the objects of the cache that went may move");
        assertTrue(lost > 40 && lost < 180, "a quarter of the objects lived there, found " + lost);
    }

    @Test
    void anObjectHasOneParentFromEveryLocation() {
        Settings here = Director.settings(true, CacheStatusDetail.ALL);
        Director one = Director.ready();
        Settings there = new Settings(1, 2, 2, here.classes(), here.directorsByZone(), here.hubByZone(),
                here.parentKind(),
                here.originKind(), here.paceKbPerS(), here.weighted(), here.siblings(), here.cacheStatusDetail(),
                here.slowStart(),
                here.parentSlowStart(), here.drainGraceUs(), here.answerSlackUs(), here.purgeNoticeUs(),
                here.purgeCompletionUs(),
                here.dialTimeoutUs(), here.listOnRequest(), here.fetchMembersWithinUs(), here.originOverloadMultiple(),
                here.originOverloadWindowUs(), here.linkKbPerS(), here.capabilities());
        Director other = new Director(there, 99);
        other.tell(Director.fleet(4));
        Map<String, Integer> parents = new HashMap<>();
        for (long object = 0; object < 100; object++) {
            String parent = one.served(object, CacheStatus.FILLED).source();
            assertEquals(parent, other.served(object, CacheStatus.FILLED).source());
            parents.merge(parent, 1, Integer::sum);
        }
        assertEquals(Set.of("parent-0", "parent-1"), parents.keySet());
    }

    @Test
    void equalEventsGiveEqualActions() {
        Director one = Director.ready();
        Director noise = Director.ready();
        Director two = Director.ready();
        for (int i = 0; i < 300; i++) {
            noise.served(i * 7919L % 31, CacheStatus.HIT);
            assertEquals(one.served(i % 13, CacheStatus.HIT), two.served(i % 13, CacheStatus.HIT));
        }
    }
}
