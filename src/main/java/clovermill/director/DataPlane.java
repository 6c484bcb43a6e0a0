package clovermill.director;

import clovermill.config.Config;
import clovermill.controlplane.handover.DescriptorShares;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.server.FrameServer;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Settings;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The request path: server, proxy core with the router, upstream connection pool, and the division of file descriptors
 * between them.
 */
final class DataPlane {

    /**
     * Share of the endpoint's idle timeout after which the pool closes an idle connection: before the endpoint does,
     * since a request that crosses its close is lost.
     */
    private static final double IDLE_TIMEOUT_FACTOR = 0.8;

    private final Config config;
    private final DirectorRuntime runtime;
    private final DescriptorShares descriptors;
    private final UpstreamPool pool;
    private final ProxyCore core;

    /** Creates the router, the pool and the proxy core, which reports to {@code policy} or {@code usage} if present. */
    DataPlane(Config config, DirectorRuntime runtime, UsageAccounting usage, Optional<PolicyPlane> policy) {
        this.config = config;
        this.runtime = runtime;
        this.descriptors = new DescriptorShares(config.sockets());
        Settings settings = config.settings();
        pool = new UpstreamPool(runtime.loop(), runtime.clock(), runtime.deadlines(), runtime.bodyBudget(),
                new UpstreamPool.Limits(config.streamsPerConnection(), descriptors.endpointConnections(false),
                        settings.dialTimeoutUs(), (long) (IDLE_TIMEOUT_FACTOR * config.connectionIdleUs())));
        RequestRouter router = new RequestRouter(settings, config.seed(), runtime.indexBytes());
        // The core's hot path tests for null: most directors have neither a listener nor attempt bounds.
        UsageListener listener = policy.isPresent() ? policy.get().placement() : usage.listener().orElse(null);
        core = new ProxyCore(router, settings, runtime.clock(), runtime.deadlines(), pool, listener,
                policy.isPresent() ? policy.get().placement() : null);
    }

    /** Returns a server for the clients' connections, not yet open; it reports ready once {@code readiness} does. */
    FrameServer server(Platform platform, BooleanSupplier readiness) {
        InetSocketAddress address = config.listen();
        return new FrameServer(runtime.loop(), runtime.clock(), runtime.deadlines(), runtime.bodyBudget(), core,
                config.settings(), config.classes(), new FrameServer.Options(address,
                        platform.inheritedSocket().orElse(null), descriptors.clientConnections(false), readiness));
    }

    /** Returns the division of the process's file descriptors between clients and endpoints. */
    DescriptorShares descriptors() {
        return descriptors;
    }

    /** Returns the pool of connections to endpoints. */
    UpstreamPool pool() {
        return pool;
    }

    /** Returns the proxy core, which owns the open requests and their router. */
    ProxyCore core() {
        return core;
    }
}
