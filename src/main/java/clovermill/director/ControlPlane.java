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
    private final DiscoveryClient discovery;
    private Optional<HandoverCoordinator> handover = Optional.empty();
    private OutageMarks outageMarks = OutageMarks.NONE;
    private Optional<AdminServer> adminServer = Optional.empty();

    /** Puts the list of the configuration in force; the discovery client is built, not started. */
    ControlPlane(Config config, DirectorRuntime runtime, DataPlane dataPlane, DiscoveryEvents startList) {
        this.runtime = runtime;
        Settings settings = config.settings();
        registry = new EndpointRegistry(runtime.clock(), dataPlane.pool(), dataPlane.core(), new OutageRegistry(),
                settings.originKind());
        registry.applyInitial(startList);
        DiscoverySettings discoverySettings = new DiscoverySettings(config.zones(), config.kinds(),
                settings.dialTimeoutUs(), Math.min(settings.drainGraceUs(), settings.purgeNoticeUs()));
        discovery = new DiscoveryClient(runtime.loop(), runtime.clock(), runtime.deadlines(), config.channel(),
                discoverySettings,
                startList.cursor(), registry::apply);
    }

    /** A readiness check that begins to settle now. */
    Readiness readiness(Platform platform, long settleUs) {
        return new Readiness(runtime.clock(), registry, discovery, platform.inheritedSocket().isPresent(),
                settleUs);
    }

    /** Watches for another process of this director, where the platform gives both a folder. */
    void startHandover(Platform platform, DataPlane dataPlane, FrameServer server) {
        if (platform.sharedFolder().isEmpty()) {
            return;
        }
        handover = HandoverCoordinator.open(platform.sharedFolder().get(), dataPlane.descriptors(), runtime.clock(),
                runtime.deadlines(), registry, server, dataPlane.pool());
        if (handover.isPresent()) {
            handover.get().start();
            outageMarks = handover.get().marks();
        }
    }

    /** Opens the gossip socket and replicates outages over it from now on. */
    void replicateOutages(GossipService gossip) {
        gossip.open(runtime.loop(), new GossipedOutages(registry, outageMarks, runtime.clock()));
        outageMarks = new ReplicatedOutageMarks(outageMarks, gossip);
    }

    /**
     * Listens for operators' calls.
     *
     * @throws IOException if the address cannot be bound until the bound of {@code startup} is over
     */
    void openAdminServer(InetSocketAddress address, FrameServer server, Optional<PolicyPlane> policy,
            StartupRetry startup) throws IOException {
        Runnable syncOutages = handover.isPresent() ? handover.get()::syncOutages : () -> {};
        OperatorActions actions = new OperatorActions(registry, server, runtime.clock(), outageMarks, syncOutages);
        Optional<AdminService.Policies> policies = policy.map(PolicyPlane::endpoint);
        AdminServer opened = new AdminServer(runtime.loop(), runtime.clock(), runtime.deadlines(),
                new AdminService(actions, policies));
        startup.get("the operators' listening socket", () -> {
            opened.open(address);
            return opened;
        });
        adminServer = Optional.of(opened);
    }

    /** The long poll for the endpoint list. */
    DiscoveryClient discovery() {
        return discovery;
    }

    /** The port of the admin server, which must be open. */
    int adminPort() {
        return adminServer.orElseThrow().port();
    }

    /** Removes this process from the folder that the director's processes share. */
    void close() {
        handover.ifPresent(HandoverCoordinator::close);
    }
}
