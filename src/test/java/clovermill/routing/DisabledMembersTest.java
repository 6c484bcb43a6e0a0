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

/** Compares the use of disabled members with a model: a member is used only if it is enabled and listed as healthy. */
class DisabledMembersTest {

    private final Map<String, Member> listed = new HashMap<>();
    private final TreeSet<String> disabled = new TreeSet<>();
    private TestDirector director;

    private void start() {
        director = new TestDirector(TestDirector.settings(true, CacheStatusDetail.ALL), 7);
        if (listed.isEmpty()) {
            TestDirector.fullList(3).members().forEach(member -> listed.put(member.id(), member));
        }
        director.handle(new DisabledMembersChanged(List.copyOf(disabled)));
        director.handle(new MembersChanged(ListScope.LAST_KNOWN, List.copyOf(listed.values())));
    }

    private boolean isAllowed(String id) {
        Member member = listed.get(id);
        return member != null && member.availability() == Availability.HEALTHY && !disabled.contains(id);
    }

    /** Asserts that targets and sources are allowed members, and answers each attempt at once. */
    private void assertUsesAllowedMembers(List<Action> actions) {
        for (List<Action> open = new ArrayList<>(actions); !open.isEmpty();) {
            if (open.remove(0) instanceof SendVia via) {
                assertThat(isAllowed(via.member())).as("to %s", via).isTrue();
                assertThat(isAllowed(via.source())).as("from %s", via).isTrue();
                director.nowUs += 20_000;
                open.addAll(director.handle(new AttemptEnded(via.request(), 0, via.member(), Result.OK, 20_000,
                        true, CacheStatus.HIT, 0, null)));
            }
        }
    }

    private void performRandomStep(Random random) {
        List<String> caches = List.of("cache-0", "cache-1", "cache-2", "parent-0", "parent-1");
        String id = caches.get(random.nextInt(caches.size()));
        switch (random.nextInt(7)) {
            case 0 -> setDisabled(id, true);
            case 1 -> setDisabled(id, false);
            case 2 -> updateListEntry(id, Availability.values()[random.nextInt(3)], 0);
            case 3 -> updateListEntry(id, Availability.HEALTHY, director.nowUs);
            case 4 -> assertUsesAllowedMembers(
                    director.handle(new MembersChanged(ListScope.FULL, List.copyOf(listed.values()))));
            case 5 -> assertUsesAllowedMembers(
                    director.handle(new SettingsChanged(TestDirector.settings(true, CacheStatusDetail.ALL))));
            default -> {
                if (random.nextInt(10) == 0) {
                    start(); // a new process
                }
            }
        }
        assertUsesAllowedMembers(director.handle(director.request(0, random.nextInt(5), 0)));
    }

    private void setDisabled(String id, boolean disable) {
        if (disable ? disabled.add(id) : disabled.remove(id)) {
            director.handle(new DisabledMembersChanged(List.copyOf(disabled)));
            if (listed.containsKey(id)) {
                assertUsesAllowedMembers(
                        director.handle(new MembersChanged(ListScope.CHANGES, List.of(listed.get(id)))));
            }
        }
    }

    private void updateListEntry(String id, Availability availability, long startedUs) {
        Member entry =
                TestDirector.with(TestDirector.fullList(3).members().stream().filter(m -> m.id().equals(id)).findFirst()
                        .orElseThrow(), availability, startedUs);
        if (availability == Availability.REMOVED) {
            listed.remove(id);
        } else {
            listed.put(id, entry);
        }
        assertUsesAllowedMembers(director.handle(new MembersChanged(ListScope.CHANGES, List.of(entry))));
    }

    @Property(tries = 200)
    void usesOnlyMembersThatListAndOperatorsAllow(@ForAll long seed) {
        listed.clear();
        disabled.clear();
        start();
        Random random = new Random(seed);
        for (int i = 0; i < 60; i++) {
            performRandomStep(random);
        }
    }

    /** With all caches of the location and one hub disabled, the other hub serves; an enabled cache is used again. */
    @Test
    void bypassesCachesWhenAllOfTheLocationAreDisabled() {
        start();
        for (String id : List.of("cache-0", "cache-1", "cache-2", "parent-0")) {
            setDisabled(id, true);
        }
        SendVia bypass = director.read(5);
        assertThat(bypass.member()).isEqualTo("parent-1");
        assertUsesAllowedMembers(List.of(bypass));
        setDisabled("cache-1", false);
        assertThat(director.read(6).member()).isEqualTo("cache-1");
    }
}
