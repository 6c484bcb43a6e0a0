package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import clovermill.routing.api.Telling;
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
            used.add(director.served(42, i == 0 ? Note.FILLED : Note.HIT).member());
        }
        assertEquals(1, used.size());
    }

    @Test
    void aHotObjectReachesTwoCachesAndItsCopyComesFromAHolder() {
        int spread = 0;
        for (long object = 0; object < 20; object++) {
            Director director = Director.ready();
            SendVia home = director.served(object, Note.FILLED);
            Set<String> used = new HashSet<>(Set.of(home.member()));
            for (int i = 0; i < 60; i++) {
                SendVia sent = director.read(object);
                if (used.add(sent.member())) {
                    assertTrue(used.contains(sent.source()),
                            "a promoted copy is filled by a believed holder");
                    assertNotEquals(0, sent.rank());
                }
                director.answer(sent, 0, Result.OK, Note.HIT, 110_000);
            }
            spread += used.size() > 1 ? 1 : 0;
        }
        assertTrue(spread >= 15, spread + " of 20 spread; only trees on a single cache may stay");
    }

    @Test
    void fewObjectsMoveWhenACacheGoes() {
        Director four = Director.ready();
        Director three = new Director(Director.settings(true, Telling.ALL), 7);
        three.tell(Director.fleet(3));
        int moved = 0;
        int lost = 0;
        for (long object = 0; object < 400; object++) {
            String before = four.served(object, Note.FILLED).member();
            String after = three.served(object, Note.FILLED).member();
            lost += before.equals("cache-3") ? 1 : 0;
            moved += before.equals(after) ? 0 : 1;
        }
        assertEquals(lost, moved, "only the objects of the cache that went may move");
        assertTrue(lost > 40 && lost < 180, "a quarter of the objects lived there, found " + lost);
    }

    @Test
    void anObjectHasOneParentFromEveryLocation() {
        Settings here = Director.settings(true, Telling.ALL);
        Director one = Director.ready();
        Settings there = new Settings(1, 2, 2, here.classes(), here.directorsByZone(), here.hubOf(),
                here.parentKind(),
                here.originKind(), here.paceKbPerS(), here.weighted(), here.siblings(), here.telling(),
                here.cold(),
                here.parentCold(), here.drainGraceUs(), here.answerSlackUs(), here.purgeNoticeUs(),
                here.purgeDoneUs(),
                here.dialTimeoutUs(), here.listOnRequest(), here.mustAskUs(), here.originFallMultiple(),
                here.originFallUs(), here.linkKbPerS(), here.allowed());
        Director other = new Director(there, 99);
        other.tell(Director.fleet(4));
        Map<String, Integer> parents = new HashMap<>();
        for (long object = 0; object < 100; object++) {
            String parent = one.served(object, Note.FILLED).source();
            assertEquals(parent, other.served(object, Note.FILLED).source());
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
            noise.served(i * 7919L % 31, Note.HIT);
            assertEquals(one.served(i % 13, Note.HIT), two.served(i % 13, Note.HIT));
        }
    }
}
