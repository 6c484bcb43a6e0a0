package clovermill.module;

import clovermill.memory.CircuitBreaker;
import clovermill.memory.InFlightCount;
import clovermill.memory.TokenBucket;
import clovermill.spread.decide.ConcurrencyEstimator;
import clovermill.spread.decide.PeerLoadEstimator;

/** A member, or the link in, as this director knows it. */
final class Endpoint {

    enum Role { CACHE, PARENT, ORIGIN }

    final String id;
    final InFlightCount held = new InFlightCount();
    final PeerLoadEstimator shared = new PeerLoadEstimator();
    final ConcurrencyEstimator room = new ConcurrencyEstimator();
    final CircuitBreaker breaker = new CircuitBreaker();
    final TokenBucket credit = new TokenBucket();
    Role role = Role.CACHE;
    int zone;
    int cell;
    double weight;
    long startedUs;
    boolean listed;

    Endpoint(String id) {
        this.id = id;
    }
}
