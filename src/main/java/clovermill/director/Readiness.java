package clovermill.director;

import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.runtime.net.Clock;
import java.util.function.BooleanSupplier;

/** Decides from when on a started process reports itself ready. */
final class Readiness implements BooleanSupplier {

    /** How much longer than it settles a successor process waits for discovery, which may be cut off. */
    private static final long DISCOVERY_WAIT_US = 1_000_000;

    private final Clock clock;
    private final EndpointRegistry registry;
    private final DiscoveryClient discovery;
    private final boolean successor;
    private final long settledAtUs;

    /**
     * Settles {@code settleUs} from now. A {@code successor} takes over from a running process: the list in its
     * configuration may be as old as that process, so it waits for discovery as well, up to a bound.
     */
    Readiness(Clock clock, EndpointRegistry registry, DiscoveryClient discovery, boolean successor,
            long settleUs) {
        this.clock = clock;
        this.registry = registry;
        this.discovery = discovery;
        this.successor = successor;
        this.settledAtUs = clock.micros() + settleUs;
    }

    @Override
    public boolean getAsBoolean() {
        return registry.hasEndpoints() && clock.micros() >= settledAtUs && upToDate();
    }

    private boolean upToDate() {
        return !successor || discovery.hasAnswered() || clock.micros() >= settledAtUs + DISCOVERY_WAIT_US;
    }
}
