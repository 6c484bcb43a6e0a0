package clovermill.director;

import clovermill.config.Config;
import clovermill.controlplane.admin.AdminServer;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.discovery.DiscoverySettings;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.gossip.GossipService;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.server.FrameServer;
import clovermill.director.operations.GossipedOutages;
import clovermill.director.operations.HandoverCoordinator;
import clovermill.director.operations.OperatorActions;
import clovermill.director.operations.ReplicatedOutageMarks;
import clovermill.routing.api.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Discovery, the handover between processes, replicated outages and the admin server of one director. */
final class ControlPlane {

    private final DirectorRuntime runtime;
    private final EndpointRegistry registry;
    private final DiscoverySettings discoverySettings;
    private final DiscoveryClient discovery;
    private Optional<HandoverCoordinator> handover = Optional.empty();
    private OutageMarks outageMarks = OutageMarks.NONE;
    private Optional<AdminServer> adminServer = Optional.empty();

    /** Applies the configuration's endpoint list; the discovery client is created but not started. */
    ControlPlane(Config config, DirectorRuntime runtime, DataPlane dataPlane, DiscoveryEvents initialEvents) {
        this.runtime = runtime;
        Settings settings = config.settings();
        registry = new EndpointRegistry(runtime.clock(), dataPlane.pool(), dataPlane.core(), new OutageRegistry(),
                settings.originKind());
        registry.applyInitial(initialEvents);
        discoverySettings = new DiscoverySettings(config.zones(), config.kinds(),
                settings.dialTimeoutUs(), Math.min(settings.drainGraceUs(), settings.purgeNoticeUs()));
        discovery = new DiscoveryClient(runtime.loop(), runtime.clock(), runtime.deadlines(), config.channel(),
                discoverySettings, initialEvents.cursor(), registry::apply);
    }

    /** Returns a readiness check whose settling time begins now. */
    Readiness readiness(Platform platform, long settleUs) {
        return new Readiness(runtime.clock(), registry, discovery, () -> mayHavePredecessor(platform), settleUs);
    }

    /** Returns whether another process of this director may have been in service before this one and still be. */
    private boolean mayHavePredecessor(Platform platform) {
        return handover.map(HandoverCoordinator::hasPredecessor).orElse(platform.inheritedSocket().isPresent());
    }

    /**
     * Starts the handover coordination with another process of this director if the platform provides a shared folder.
     */
    void startHandover(Platform platform, DataPlane dataPlane, FrameServer server) {
        if (platform.sharedFolder().isEmpty()) {
            return;
        }
        handover = HandoverCoordinator.open(platform.sharedFolder().get(), dataPlane.descriptors(), runtime.clock(),
                runtime.deadlines(), registry, discovery, discoverySettings, server, dataPlane.pool());
        if (handover.isPresent()) {
            handover.get().start();
            outageMarks = handover.get().marks();
        }
        if (!mayHavePredecessor(platform)) {
            discovery.adopt(discovery.cursor(), runtime.clock().micros()); // the configuration's list is current
        }
    }

    /** Opens the gossip socket and replicates outages over it from now on. */
    void replicateOutages(GossipService gossip) {
        gossip.open(runtime.loop(), new GossipedOutages(registry, outageMarks, runtime.clock()));
        outageMarks = new ReplicatedOutageMarks(outageMarks, gossip);
    }

    /**
     * Opens the admin server.
     *
     * @throws IOException if the address cannot be bound within the time limit of {@code startup}
     */
    void openAdminServer(InetSocketAddress address, FrameServer server, Optional<PolicyPlane> policy,
            StartupRetry startup) throws IOException {
        Runnable syncOutages = handover.isPresent() ? handover.get()::syncOutages : () -> {};
        OperatorActions actions = new OperatorActions(registry, server, runtime.clock(), outageMarks, syncOutages);
        Optional<AdminService.Policies> policies = policy.map(PolicyPlane::endpoint);
        AdminServer opened = new AdminServer(runtime.loop(), runtime.clock(), runtime.deadlines(),
                new AdminService(actions, policies));
        startup.get("the admin server's listening socket", () -> {
            opened.open(address);
            return opened;
        });
        adminServer = Optional.of(opened);
    }

    /** Returns the client that long-polls the endpoint list. */
    DiscoveryClient discovery() {
        return discovery;
    }

    /** Returns the port of the admin server, which must be open. */
    int adminPort() {
        return adminServer.orElseThrow().port();
    }

    /** Removes this process from the folder that the director's processes share. */
    void close() {
        handover.ifPresent(HandoverCoordinator::close);
    }
}
