package clovermill.routing;

import clovermill.routing.stats.DecayingRate;
import clovermill.routing.stats.HashRing;
import java.util.List;
import java.util.function.Predicate;

/** The endpoints of one role on a consistent-hash ring, and the throughput of the warm ones among them. */
final class EndpointRing {

    final HashRing<Endpoint> hashRing = new HashRing<>();
    /** Service time that warm endpoints have given this director, for each unit of weight and time. */
    final DecayingRate throughput = new DecayingRate();
    List<Endpoint> endpoints = List.of();
    private double totalWeight;

    /** Replaces the endpoints; the measured throughput stays. */
    void setEndpoints(List<Endpoint> listed) {
        endpoints = listed;
        totalWeight = endpoints.stream().mapToDouble(endpoint -> endpoint.weight).sum();
        hashRing.setMembers(endpoints, endpoint -> endpoint.id, endpoint -> endpoint.weight);
    }

    /** Lets time pass for the throughput; endpoints that are warming up or failing count as not available. */
    void advance(long nowUs, Predicate<Endpoint> warmingUp) {
        throughput.advance(nowUs, totalWeight, () -> endpoints.stream()
                .mapToDouble(endpoint -> endpoint.breaker.isOpen() || warmingUp.test(endpoint) ? 0 : endpoint.weight)
                .sum());
    }
}
