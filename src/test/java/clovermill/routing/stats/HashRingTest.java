package clovermill.routing.stats;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HashRingTest {

    private static final int MEMBERS = 320;

    /** A member with identity equality, like an endpoint. */
    private static final class Node {
        private final String id;
        private double weight = 6;

        Node(String id) {
            this.id = id;
        }
    }

    private static List<Node> nodes(int count) {
        List<Node> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Node("s-" + i));
        }
        return all;
    }

    @Test
    void hashesOnlyChangedMember() {
        List<Node> nodes = nodes(MEMBERS);
        HashRing<Node> ring = new HashRing<>();
        ring.setMembers(nodes.subList(0, MEMBERS - 1), node -> node.id, node -> node.weight);
        Set<String> hashed = new HashSet<>();
        ring.setMembers(nodes, node -> {
            hashed.add(node.id);
            return node.id;
        }, node -> node.weight);
        assertThat(hashed).containsExactly("s-" + (MEMBERS - 1));
        hashed.clear();
        ring.setMembers(nodes.subList(1, MEMBERS), node -> {
            hashed.add(node.id);
            return node.id;
        }, node -> node.weight);
        assertThat(hashed).containsExactly("s-0");
    }

    /** The ring is a function of its current members, independent of its history. */
    @Test
    void ringDependsOnlyOnCurrentMembers() {
        Random random = new Random(5);
        HashRing<Node> changed = new HashRing<>();
        List<Node> nodes = nodes(40);
        for (int round = 0; round < 200; round++) {
            int at = random.nextInt(nodes.size());
            switch (random.nextInt(3)) {
                case 0 -> nodes.set(at, new Node(nodes.get(at).id));
                case 1 -> nodes.get(at).weight = 1 + random.nextInt(20);
                default -> nodes.set(at, new Node("n-" + round));
            }
            List<Node> members = nodes.stream().filter(node -> random.nextInt(10) > 0).toList();
            changed.setMembers(members, node -> node.id, node -> node.weight);
            HashRing<Node> fresh = new HashRing<>();
            fresh.setMembers(members, node -> node.id, node -> node.weight);
            for (int i = 0; i < 50; i++) {
                long point = random.nextLong();
                assertThat(changed.firstClockwise(point, node -> true))
                        .isSameAs(fresh.firstClockwise(point, node -> true));
            }
        }
    }

    /** Tests each member at most once, in the order of the points, and ends when all are rejected. */
    @Test
    void looksClockwiseAtEachMemberOnce() {
        List<Node> nodes = nodes(MEMBERS);
        HashRing<Node> ring = new HashRing<>();
        assertThat(ring.firstClockwise(7, node -> true)).isNull();
        ring.setMembers(nodes, node -> node.id, node -> node.weight);
        Random random = new Random(9);
        for (int i = 0; i < 100; i++) {
            long point = random.nextLong();
            List<Node> tested = new ArrayList<>();
            assertThat(ring.firstClockwise(point, node -> {
                tested.add(node);
                return false;
            })).isNull();
            assertThat(tested).containsExactlyInAnyOrderElementsOf(nodes);
            Node third = tested.get(2);
            assertThat(ring.firstClockwise(point, node -> node == third || tested.indexOf(node) > 2)).isSameAs(third);
        }
    }

    @Test
    void sharesAreProportionalToWeights() {
        List<Node> nodes = nodes(4);
        nodes.get(0).weight = 18;
        HashRing<Node> ring = new HashRing<>();
        ring.setMembers(nodes, node -> node.id, node -> node.weight);
        Random random = new Random(3);
        int heavy = 0;
        for (int i = 0; i < 10_000; i++) {
            heavy += ring.firstClockwise(random.nextLong(), node -> true) == nodes.get(0) ? 1 : 0;
        }
        assertThat(heavy).isBetween(4_000, 6_000);
    }
}
