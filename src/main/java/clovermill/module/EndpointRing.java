package clovermill.module;

import clovermill.memory.DecayingRate;
import clovermill.memory.HashRing;
import java.util.List;

/** The members of one role by consistent hashing, and what the warm ones among them serve. */
final class EndpointRing {

    final HashRing<Endpoint> points = new HashRing<>();
    final DecayingRate served = new DecayingRate();
    List<Endpoint> members = List.of();
    private double weight;

    /** Takes over a list of members; what is known of the load stays. */
    void list(List<Endpoint> listed) {
        members = listed;
        weight = members.stream().mapToDouble(node -> node.weight).sum();
        points.list(members, node -> node.id, node -> node.weight);
    }

    void advance(long now, SlowStart cold) {
        served.advance(now, weight, () -> members.stream()
                .mapToDouble(node -> node.breaker.open() || cold.cold(node) ? 0 : node.weight).sum());
    }
}
