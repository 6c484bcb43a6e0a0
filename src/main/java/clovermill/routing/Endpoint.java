package clovermill.routing;

import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.load.PeerLoadEstimator;
import clovermill.routing.stats.CircuitBreaker;
import clovermill.routing.stats.InFlightCount;
import clovermill.routing.stats.TokenBucket;

/** A cache, a parent, the origin or the location's link in, with what this director has learned of it. */
final class Endpoint {

    /** The tier of an endpoint. */
    enum Role { CACHE, PARENT, ORIGIN }

    final String id;
    /** Attempts of this director that load it. */
    final InFlightCount inFlight = new InFlightCount();
    /** Attempts of the other directors. */
    final PeerLoadEstimator peerLoad = new PeerLoadEstimator();
    /** Transfers that it can hold at full pace. */
    final ConcurrencyEstimator concurrency = new ConcurrencyEstimator();
    final CircuitBreaker breaker = new CircuitBreaker();
    /** The service time that this director may still ask of it during slow start, in microseconds. */
    final TokenBucket slowStartBudget = new TokenBucket();
    Role role = Role.CACHE;
    int zone;
    int cell;
    /** Capacity in transfers at full pace, or in proportion to it, as listed. */
    double weight;
    /** When it started, in microseconds; 0 if long ago. */
    long startedUs;
    /** Whether it may be used: listed as healthy and not taken out by operators. */
    boolean listed;

    Endpoint(String id) {
        this.id = id;
    }
}
