package clovermill.routing;

import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.load.PeerLoadEstimator;
import clovermill.routing.stats.CircuitBreaker;
import clovermill.routing.stats.InFlightCount;
import clovermill.routing.stats.TokenBucket;

/** A cache, a parent, the origin or the location's inbound link, with this director's statistics of it. */
final class Endpoint {

    /** The tier of an endpoint. */
    enum Role { CACHE, PARENT, ORIGIN }

    final String id;
    /** Its number, by which state that may outlive it refers to it; never used again for another endpoint. */
    final int number;
    /** This director's attempts that load it. */
    final InFlightCount inFlight = new InFlightCount();
    /** The other directors' attempts that load it. */
    final PeerLoadEstimator peerLoad = new PeerLoadEstimator();
    /** The transfers that it can serve at full pace. */
    final ConcurrencyEstimator concurrency = new ConcurrencyEstimator();
    final CircuitBreaker breaker = new CircuitBreaker();
    /** The service time that this director may still request of it during slow start, in microseconds. */
    final TokenBucket slowStartBudget = new TokenBucket();
    Role role = Role.CACHE;
    int zone;
    int cell;
    /** The listed capacity in transfers at full pace, or a value in proportion to it. */
    double weight;
    /** The time of its start, in microseconds; 0 if long ago. */
    long startedUs;
    /** True if it may be used: it is listed as healthy and not disabled by operators. */
    boolean listed;

    Endpoint(String id, int number) {
        this.id = id;
        this.number = number;
    }
}
