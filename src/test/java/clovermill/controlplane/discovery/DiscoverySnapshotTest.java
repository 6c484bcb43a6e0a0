package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.config.Json;
import clovermill.routing.api.Availability;
import clovermill.routing.api.Member;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one process hands to the next must be the same there: an event that is lost is lost until discovery is back. */
class DiscoverySnapshotTest {

    private static final DiscoverySettings SETTINGS =
            new DiscoverySettings(List.of("north", "edge"), List.of("std", "origin"), 400_000, 500_000);
    private static final DiscoverySnapshot SNAPSHOT = new DiscoverySnapshot(41, 1_250_000,
            List.of(endpoint("s-1", 1, 0, Availability.DRAINING, 1_700_000_000_123L),
                    endpoint("o \"1\" \u00e9", 0, 1, Availability.HEALTHY, 0)),
            List.of(new AgedPurge(new CopiesPurged(41, 0xff00_0000_0000_0001L, 0, 1_700_000_000_456L), 7),
                    new AgedPurge(new CopiesPurged(41, null, 255, 0), 3_600_000_000L)));

    private static ListedEndpoint endpoint(String id, int zone, int kind, Availability availability, long startedMs) {
        return new ListedEndpoint(new Member(id, zone, kind, 3, availability, 2.5, 0),
                new InetSocketAddress("127.0.0.1", 8080), startedMs);
    }

    @Test
    void readsWhatItHasWritten() throws Exception {
        assertThat(DiscoverySnapshot.fromJson(SNAPSHOT.toJson(SETTINGS), SETTINGS)).isEqualTo(SNAPSHOT);
    }

    /** A part of it would be taken for the whole. */
    @Test
    void refusesATextThatIsCutOffAtAnyPlace() {
        String text = SNAPSHOT.toJson(SETTINGS);
        for (int length = 0; length < text.length(); length++) {
            String part = text.substring(0, length);
            assertThatThrownBy(() -> DiscoverySnapshot.fromJson(part, SETTINGS)).isInstanceOf(Json.Malformed.class);
        }
    }

    @Test
    void refusesAListWithAnEntryOrAPurgeThatCannotBeUsed() {
        String text = SNAPSHOT.toJson(SETTINGS);
        for (String unusable : List.of(text.replace("\"edge\"", "\"west\""),
                text.replace("\"full\":true", "\"full\":false"),
                text.replace("\"family\"", "\"other\""), text.replace("[7,", "["), text.replace("[7,", "[true,"))) {
            assertThat(unusable).isNotEqualTo(text);
            assertThatThrownBy(() -> DiscoverySnapshot.fromJson(unusable, SETTINGS)).isInstanceOf(Json.Malformed.class);
        }
    }

    /** Beyond the bound, a purge must not be forgotten: an object of any group may be older than it. */
    @Test
    void mergesThePurgesBeyondTheBoundIntoOneOfEachGroup() {
        RecentPurges purges = new RecentPurges();
        for (int i = 0; i < RecentPurges.MAX_PURGES + 2; i++) {
            purges.add(new CopiesPurged(i, (long) i, 0, i), 1_000 + i);
        }
        List<AgedPurge> aged = purges.aged(10_000);
        assertThat(aged).hasSize(RecentPurges.GROUPS + RecentPurges.MAX_PURGES);
        assertThat(aged.subList(0, RecentPurges.GROUPS)).allMatch(each -> each.ageUs() == 10_000 - 1_001)
                .extracting(each -> each.purge().group()).doesNotHaveDuplicates().contains(0, 255);
        assertThat(aged.get(RecentPurges.GROUPS).purge().object()).isEqualTo(2L);
    }
}
