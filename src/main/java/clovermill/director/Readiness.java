package clovermill.director;

import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.runtime.net.Clock;
import java.util.function.BooleanSupplier;

/** Decides when a started process reports itself ready. */
final class Readiness implements BooleanSupplier {

    /** Maximum wait of a successor process for discovery after it has settled; discovery may be unreachable. */
    private static final long DISCOVERY_WAIT_US = 1_000_000;

    private final Clock clock;
    private final EndpointRegistry registry;
    private final DiscoveryClient discovery;
    private final boolean successor;
    private final long settledAtUs;

    /**
     * Begins the settling time of {@code settleUs}. A {@code successor} replaces a running process: the endpoint list
     * in its configuration may be as old as that process, so it also waits for discovery, for a limited time.
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
