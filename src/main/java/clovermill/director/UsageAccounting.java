package clovermill.director;

import clovermill.config.Config;
import clovermill.controlplane.gossip.GossipService;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.ledger.Ledger;
import clovermill.routing.api.Settings;
import clovermill.storage.Volume;
import java.io.IOException;
import java.util.Optional;

/** Admission and accounting of requests by tenant: the usage ledger and the fleet-wide limits, if configured. */
final class UsageAccounting {

    private final Optional<Ledger> ledger;
    private final Optional<GossipService> gossip;

    /**
     * Opens the ledger and the gossip service that {@code subsystems} configures.
     *
     * @throws IOException if the ledger's folder cannot be used
     * @throws IllegalArgumentException naming the setting that cannot be used
     */
    UsageAccounting(Config config, SubsystemSettings subsystems, DirectorRuntime runtime) throws IOException {
        ledger = subsystems.ledger().isEmpty() ? Optional.empty()
                : Optional.of(Ledger.open(subsystems.ledger().get(), ledgerDirector(config), runtime.clock(),
                        runtime.deadlines(), runtime.loop()::post, Volume.local()));
        gossip = subsystems.gossip().isEmpty() ? Optional.empty()
                : Optional.of(new GossipService(subsystems.gossip().get(), config.classes(),
                        config.settings().answerSlackUs(), runtime.clock(), runtime.deadlines(), ledger.orElse(null)));
    }

    private static Ledger.Director ledgerDirector(Config config) {
        Settings settings = config.settings();
        return new Ledger.Director(config.name(), config.classes(), settings.parentKind(), settings.originKind(),
                settings.capabilities().maxOpenRequests());
    }

    /** Returns the first listener of the chain; the gossip service forwards each event to the ledger. */
    Optional<UsageListener> listener() {
        return gossip.isPresent() ? Optional.of(gossip.get()) : ledger.isPresent() ? Optional.of(ledger.get())
                : Optional.empty();
    }

    /** Returns the gossip between peer directors. */
    Optional<GossipService> gossip() {
        return gossip;
    }

    /** Closes the gossip socket; {@link #closeLedger} must follow the closing of the policy store. */
    void closeGossip() {
        gossip.ifPresent(GossipService::close);
    }

    /**
     * Flushes and closes the ledger.
     *
     * @throws IOException if the last segment cannot be closed
     */
    void closeLedger() throws IOException {
        if (ledger.isPresent()) {
            ledger.get().close();
        }
    }
}
