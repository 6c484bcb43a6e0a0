package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.reload.ConfigReloader;
import clovermill.dataplane.server.FrameServer;
import clovermill.director.reload.SettingsReload;
import clovermill.director.shutdown.GracefulShutdown;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A complete director: builds its planes and wires them together. All but {@link #listening} belongs to the thread that
 * runs the loop.
 */
final class Assembly {

    /**
     * Settling time of a process before it reports ready. Startup exhausts the processor quota; without the pause the
     * first answers were up to 0.4 s late and the router treated endpoints as overloaded.
     */
    static final long SETTLE_US = 1_000_000;

    private final StartupRetry startup;
    private final Platform platform;
    private final DirectorRuntime runtime;
    private final UsageAccounting usage;
    private final Optional<PolicyPlane> policy;
    private final ControlPlane controlPlane;
    private final FrameServer server;
    private final GracefulShutdown shutdown;
    private final ConfigReloader reloader;
    /** True once a client may have been accepted; read by the signal handler's thread. */
    private volatile boolean listening;

    /**
     * Wires a director that reports ready {@code settleUs} from now, once {@link #open} was called and its loop
     * runs.
     *
     * @param configFile the file from which the configuration is reloaded
     * @param startup retries resources that are temporarily unavailable
     * @throws IOException if a socket, the selector or a folder cannot be opened
     * @throws Json.Malformed if the endpoint list of the configuration cannot be used
     * @throws IllegalArgumentException naming the subsystem's setting that cannot be used
     */
    Assembly(Config config, Path configFile, Clock clock, long settleUs, SubsystemSettings subsystems,
            Platform platform, StartupRetry startup) throws IOException, Json.Malformed {
        this.startup = startup;
        this.platform = platform;
        DiscoveryEvents initialEvents = DiscoveryEventParser.parse(config.initialEvents(),
                config.zones(), config.kinds());
        runtime = DirectorRuntime.open(clock, startup);
        Warmup.run(config.settings(), initialEvents);
        usage = new UsageAccounting(config, subsystems, runtime);
        policy = subsystems.policyStore().isEmpty() ? Optional.empty()
                : Optional.of(new PolicyPlane(subsystems.policyStore().get(), config, runtime, usage.listener()));
        DataPlane dataPlane = new DataPlane(config, runtime, usage, policy);
        controlPlane = new ControlPlane(config, runtime, dataPlane, initialEvents);
        server = dataPlane.server(platform, controlPlane.readiness(platform, settleUs));
        controlPlane.startHandover(platform, dataPlane, server);
        if (usage.gossip().isPresent()) {
            controlPlane.replicateOutages(usage.gossip().get());
        }
        SettingsReload reload = new SettingsReload(config, clock, runtime.deadlines(), dataPlane.core(), server,
                controlPlane.discovery());
        shutdown = new GracefulShutdown(runtime.loop(), clock, runtime.deadlines(), server, dataPlane.core(),
                reload::longestDeadlineUs, platform.inheritedSocket().isPresent());
        reloader = new ConfigReloader(configFile, clock, runtime.deadlines(), config, reload::apply);
    }

    /** Returns the event loop, which the caller runs after {@link #open}. */
    EventLoop loop() {
        return runtime.loop();
    }

    /**
     * Opens the listening sockets and starts discovery.
     *
     * @throws IOException if an address cannot be bound within the time limit for startup
     */
    void open() throws IOException {
        policy.ifPresent(PolicyPlane::start);
        if (platform.adminAddress().isPresent()) {
            controlPlane.openAdminServer(platform.adminAddress().get(), server, policy, startup);
        }
        startup.get("the clients' listening socket", this::listen);
        controlPlane.discovery().start();
    }

    private FrameServer listen() throws IOException {
        listening = true;
        try {
            server.open();
            return server;
        } catch (IOException failure) {
            listening = false;
            throw failure;
        }
    }

    /** Returns true once a client may have been accepted; may be called on any thread. */
    boolean listening() {
        return listening;
    }

    /** Returns the port on which clients are accepted. */
    int port() {
        return server.port();
    }

    /** Returns the port of the admin server. */
    int adminPort() {
        return controlPlane.adminPort();
    }

    /** Returns the reloader that applies new configurations. */
    ConfigReloader reloader() {
        return reloader;
    }

    /**
     * Closes the resources that are still open after the loop has stopped.
     *
     * @throws IOException if the ledger cannot be closed
     */
    void close() throws IOException {
        controlPlane.close();
        usage.closeGossip();
        policy.ifPresent(PolicyPlane::close);
        usage.closeLedger();
    }

    /** Begins the graceful shutdown; the loop stops when it is complete. */
    void shutDown() {
        shutdown.begin();
    }
}
