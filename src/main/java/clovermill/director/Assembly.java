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

/** One director: its planes, wired together. All but {@link #listening} belongs to the thread that runs the loop. */
final class Assembly {

    /**
     * How long a process settles before it reports ready, in microseconds. A start uses up processor time in advance;
     * without the pause the first answers came up to 0.4 s late and the router took endpoints for overloaded.
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
    /** Whether a client may have been accepted; read by the thread of the signals. */
    private volatile boolean listening;

    /**
     * Wires a director that reports ready {@code settleUs} from now, once {@link #open} was called and its loop
     * runs.
     *
     * @param configFile where later configurations are read from
     * @param startup tries again what the machine refuses for a moment
     * @throws IOException if a socket, the selector or a folder cannot be opened
     * @throws Json.Malformed if the endpoint list of the configuration cannot be used
     * @throws IllegalArgumentException naming the subsystem's setting that cannot be used
     */
    Assembly(Config config, Path configFile, Clock clock, long settleUs, SubsystemSettings subsystems,
            Platform platform, StartupRetry startup) throws IOException, Json.Malformed {
        this.startup = startup;
        this.platform = platform;
        DiscoveryEvents startList = DiscoveryEventParser.parse(config.known(), config.zones(), config.kinds());
        runtime = DirectorRuntime.open(clock, startup);
        Warmup.run(config.settings(), startList);
        usage = new UsageAccounting(config, subsystems, runtime);
        policy = subsystems.policyStore().isEmpty() ? Optional.empty()
                : Optional.of(new PolicyPlane(subsystems.policyStore().get(), config, runtime, usage.listener()));
        DataPlane dataPlane = new DataPlane(config, runtime, usage, policy);
        controlPlane = new ControlPlane(config, runtime, dataPlane, startList);
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

    /** The loop, to be run by the caller after {@link #open}. */
    EventLoop loop() {
        return runtime.loop();
    }

    /**
     * Listens and starts discovery.
     *
     * @throws IOException if an address cannot be bound until the bound of the start is over
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

    /** Whether a client may have been accepted; may be called on any thread. */
    boolean listening() {
        return listening;
    }

    /** The port on which clients are accepted. */
    int port() {
        return server.port();
    }

    /** The port on which operators call. */
    int adminPort() {
        return controlPlane.adminPort();
    }

    /** Applies new configurations. */
    ConfigReloader reloader() {
        return reloader;
    }

    /**
     * Closes what outlives the loop, after the loop has stopped.
     *
     * @throws IOException if the ledger cannot be closed
     */
    void close() throws IOException {
        controlPlane.close();
        usage.closeGossip();
        policy.ifPresent(PolicyPlane::close);
        usage.closeLedger();
    }

    /** Begins the graceful shutdown, at the end of which the loop stops. */
    void shutDown() {
        shutdown.begin();
    }
}
