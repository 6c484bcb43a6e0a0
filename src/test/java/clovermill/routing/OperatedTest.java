package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.DisabledMembersChanged;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SettingsChanged;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Members that operators have taken out, against a plain model: one is used only where they and the list allow. */
class OperatedTest {

    private final Map<String, Member> listed = new HashMap<>();
    private final TreeSet<String> out = new TreeSet<>();
    private Director director;

    private void start() {
        director = new Director(Director.settings(true, CacheStatusDetail.ALL), 7);
        if (listed.isEmpty()) {
            Director.fleet(3).members().forEach(member -> listed.put(member.id(), member));
        }
        director.tell(new DisabledMembersChanged(List.copyOf(out)));
        director.tell(new MembersChanged(ListScope.LAST_KNOWN, List.copyOf(listed.values())));
    }

    private boolean allowed(String id) {
        Member member = listed.get(id);
        return member != null && member.availability() == Availability.HEALTHY && !out.contains(id);
    }

    /** What is sent and to be filled names only those that are allowed; whatever was sent is answered at once. */
    private void check(List<Action> actions) {
        for (List<Action> open = new ArrayList<>(actions); !open.isEmpty();) {
            if (open.remove(0) instanceof SendVia via) {
                assertThat(allowed(via.member())).as("to %s", via).isTrue();
                assertThat(allowed(via.source())).as("from %s", via).isTrue();
                director.now += 20_000;
                open.addAll(director.tell(new AttemptEnded(via.request(), 0, via.member(), Result.OK, 20_000,
                        true, CacheStatus.HIT, 0, null)));
            }
        }
    }

    private void step(Random random) {
        List<String> caches = List.of("cache-0", "cache-1", "cache-2", "parent-0", "parent-1");
        String id = caches.get(random.nextInt(caches.size()));
        switch (random.nextInt(7)) {
            case 0 -> operate(id, true);
            case 1 -> operate(id, false);
            case 2 -> list(id, Availability.values()[random.nextInt(3)], 0);
            case 3 -> list(id, Availability.HEALTHY, director.now);
            case 4 -> check(director.tell(new MembersChanged(ListScope.FULL, List.copyOf(listed.values()))));
            case 5 -> check(director.tell(new SettingsChanged(Director.settings(true, CacheStatusDetail.ALL))));
            default -> {
                if (random.nextInt(10) == 0) {
                    start(); // the next process
                }
            }
        }
        check(director.tell(director.request(0, random.nextInt(5), 0)));
    }

    private void operate(String id, boolean isOut) {
        if (isOut ? out.add(id) : out.remove(id)) {
            director.tell(new DisabledMembersChanged(List.copyOf(out)));
            if (listed.containsKey(id)) {
                check(director.tell(new MembersChanged(ListScope.CHANGES, List.of(listed.get(id)))));
            }
        }
    }

    private void list(String id, Availability availability, long startedUs) {
        Member told = Director.with(Director.fleet(3).members().stream().filter(m -> m.id().equals(id)).findFirst()
                .orElseThrow(), availability, startedUs);
        if (availability == Availability.REMOVED) {
            listed.remove(id);
        } else {
            listed.put(id, told);
        }
        check(director.tell(new MembersChanged(ListScope.CHANGES, List.of(told))));
    }

    @Property(tries = 200)
    void nothingGoesWhereEitherForbidsIt(@ForAll long seed) {
        listed.clear();
        out.clear();
        start();
        Random random = new Random(seed);
        for (int i = 0; i < 60; i++) {
            step(random);
        }
    }

    /** With all caches of the location out, and one hub, the rest serves; a cache that is put back is used again. */
    @Test
    void theLastCacheOfALocationMayBeTakenOut() {
        start();
        for (String id : List.of("cache-0", "cache-1", "cache-2", "parent-0")) {
            operate(id, true);
        }
        SendVia past = director.read(5);
        assertThat(past.member()).isEqualTo("parent-1");
        check(List.of(past));
        operate("cache-1", false);
        assertThat(director.read(6).member()).isEqualTo("cache-1");
    }
}
