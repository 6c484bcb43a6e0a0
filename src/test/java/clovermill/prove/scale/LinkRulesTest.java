package clovermill.prove.scale;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.prove.scale.Topology.Part;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests delays by location, loss, one-way partitions, and the mapping between addresses and directors. */
class LinkRulesTest {

    private static final int SIZE = 1_080;
    private final SplittableRandom random = new SplittableRandom(1);

    @Test
    void delayDependsOnLocationsOfBothDirectors() {
        LinkRules rules = new LinkRules(0, 1);
        assertThat(rules.delayUs(0, 72, random)).isEqualTo(2_000); // region 0, zone 0 both
        assertThat(rules.delayUs(0, 6, random)).isEqualTo(10_000); // region 0, zones 0 and 1
        assertThat(rules.delayUs(0, 1, random)).isEqualTo(80_000); // regions 0 and 1
    }

    @Test
    void delayShareScalesDelay() {
        assertThat(new LinkRules(0, 0.1).delayUs(0, 1, random)).isEqualTo(8_000);
    }

    @Test
    void hasSixRegionsOfTwelveZones() {
        Set<Integer> places = new HashSet<>();
        for (int i = 0; i < SIZE; i++) {
            places.add(Topology.region(i) * Topology.ZONES + Topology.zone(i));
        }
        assertThat(places).hasSize(Topology.REGIONS * Topology.ZONES);
    }

    @Test
    void losesConfiguredShareOfDatagrams() {
        LinkRules rules = new LinkRules(0.01, 1);
        int lost = 0;
        for (int i = 0; i < 100_000; i++) {
            lost += rules.delayUs(0, 1, random) == LinkRules.LOST ? 1 : 0;
        }
        assertThat(lost).isBetween(800, 1_200);
    }

    @Test
    void partitionBlocksOneDirectionUntilHealed() {
        LinkRules rules = new LinkRules(0, 1);
        rules.partition(new LinkRules.Partition(i -> i < 10, i -> i >= 10));
        assertThat(rules.delayUs(3, 12, random)).isEqualTo(LinkRules.LOST);
        assertThat(rules.delayUs(12, 3, random)).isPositive();
        assertThat(rules.delayUs(3, 4, random)).isPositive();
        rules.heal();
        assertThat(rules.delayUs(3, 12, random)).isPositive();
    }

    @Test
    void mapsOnlyOwnAddressToDirector() {
        Topology topology = new Topology(SIZE, 7946, 7960);
        Set<String> all = new HashSet<>();
        for (int i = 0; i < SIZE; i++) {
            assertThat(topology.directorAt(topology.real(i, Part.FLEET).getAddress())).isEqualTo(i);
            assertThat(topology.directorAt(topology.link(i, Part.ACCORD).getAddress())).isEqualTo(-1);
            all.add(topology.real(i, Part.FLEET).toString());
            all.add(topology.link(i, Part.FLEET).toString());
        }
        assertThat(all).hasSize(2 * SIZE);
    }

    @Test
    void addressesHaveOwnSocketForSelfAndLinksForOthers() {
        Topology topology = new Topology(3, 7946, 7960);
        assertThat(topology.addresses(1, Part.ACCORD)).containsExactly("127.21.0.1:7960", "127.20.0.2:7960",
                "127.21.0.3:7960");
    }
}
