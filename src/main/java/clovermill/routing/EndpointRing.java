package clovermill.routing;

import clovermill.routing.stats.DecayingRate;
import clovermill.routing.stats.HashRing;
import java.util.List;
import java.util.function.Predicate;

/** The endpoints of one role on a consistent-hash ring, and the throughput of the warm ones among them. */
final class EndpointRing {

    private static final int NOT_COUNTED = -1;

    final HashRing<Endpoint> hashRing = new HashRing<>();
    /** Service time that warm endpoints have delivered to this director, per unit of weight and time. */
    final DecayingRate throughput = new DecayingRate();
    List<Endpoint> endpoints = List.of();
    private double totalWeight;
    /** The number of open breakers; {@link #NOT_COUNTED} after a change. */
    private int openBreakers = NOT_COUNTED;

    /**
     * Replaces the endpoints; the measured throughput is retained.
     *
     * @param reweighted whether the weight of one of them may have changed; without that, the same ones cost little
     */
    void setEndpoints(List<Endpoint> listed, boolean reweighted) {
        if (!reweighted && listed.equals(endpoints)) {
            return;
        }
        endpoints = listed;
        openBreakers = NOT_COUNTED;
        totalWeight = endpoints.stream().mapToDouble(endpoint -> endpoint.weight).sum();
        hashRing.setMembers(endpoints, endpoint -> endpoint.id, endpoint -> endpoint.weight);
    }

    /** Must be called after the breaker of one of the endpoints may have opened or closed. */
    void breakerChanged() {
        openBreakers = NOT_COUNTED;
    }

    /** Returns whether more than half of the breakers are open. */
    boolean isMostlyOpen() {
        if (openBreakers == NOT_COUNTED) {
            openBreakers = (int) endpoints.stream().filter(endpoint -> endpoint.breaker.isOpen()).count();
        }
        return 2 * openBreakers > endpoints.size();
    }

    /** Advances the throughput to {@code nowUs}; endpoints that are warming up or failing count as unavailable. */
    void advance(long nowUs, Predicate<Endpoint> warmingUp) {
        throughput.advance(nowUs, totalWeight, () -> endpoints.stream()
                .mapToDouble(endpoint -> endpoint.breaker.isOpen() || warmingUp.test(endpoint) ? 0 : endpoint.weight)
                .sum());
    }
}
