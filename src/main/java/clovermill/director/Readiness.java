package clovermill.director;

import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.runtime.net.Clock;
import java.util.function.BooleanSupplier;

/**
 * Decides when a started process reports itself ready. Once it has, it stays ready: a process in service serves with
 * the last known endpoint list if discovery is down.
 */
final class Readiness implements BooleanSupplier {

    /**
     * Maximum age of a successor's endpoint list. An event counts as known 7 s after the command channel has it,
     * whether it arrived or not (the protocol page, "Figures").
     */
    private static final long MAX_LIST_AGE_US = 7_000_000;

    private final Clock clock;
    private final EndpointRegistry registry;
    private final DiscoveryClient discovery;
    private final BooleanSupplier hasPredecessor;
    private final long settledAtUs;
    private boolean ready;

    /**
     * Begins the settling time of {@code settleUs}. The endpoint list in the configuration is current at the start of a
     * director, but as old as its first process when a successor of that starts. A successor therefore waits until it
     * has a newer one from discovery or from the process that it replaces, as long as that is there to serve.
     *
     * @param hasPredecessor whether this process is a successor and the process that it replaces still runs
     */
    Readiness(Clock clock, EndpointRegistry registry, DiscoveryClient discovery,
            BooleanSupplier hasPredecessor, long settleUs) {
        this.clock = clock;
        this.registry = registry;
        this.discovery = discovery;
        this.hasPredecessor = hasPredecessor;
        this.settledAtUs = clock.micros() + settleUs;
    }

    @Override
    public boolean getAsBoolean() {
        ready = ready || registry.hasEndpoints() && clock.micros() >= settledAtUs && hasCurrentList();
        return ready;
    }

    private boolean hasCurrentList() {
        return clock.micros() - discovery.confirmedUs() <= MAX_LIST_AGE_US || !hasPredecessor.getAsBoolean();
    }
}
