package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.admin.AdminServer;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.discovery.DiscoverySettings;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.gossip.GossipService;
import clovermill.controlplane.gossip.GossipSettings;
import clovermill.controlplane.handover.DescriptorShares;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.controlplane.outage.OutageRegistry;
import clovermill.controlplane.placement.Placement;
import clovermill.controlplane.policystore.PolicyStore;
import clovermill.controlplane.policystore.PolicyStoreSettings;
import clovermill.controlplane.policystore.PolicyRules;
import clovermill.controlplane.reload.ConfigReloader;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.server.FrameServer;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.director.operations.GossipedOutages;
import clovermill.director.operations.HandoverCoordinator;
import clovermill.director.operations.OperatorActions;
import clovermill.director.operations.PolicyEndpoint;
import clovermill.director.reload.SettingsReload;
import clovermill.director.shutdown.GracefulShutdown;
import clovermill.ledger.Ledger;
import clovermill.ledger.LedgerSettings;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.storage.Volume;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BooleanSupplier;

/** One director: its parts, wired together. */
final class Assembly {

    /** Bodies may take this part of the heap; beliefs, open requests and what is read ahead share the rest. */
    private static final int BODIES_PART = 4;
    /** Idle connections are closed a little before the member does it, lest a request crosses that. */
    private static final double IDLE_PART = 0.8;

    private final EventLoop loop;
    private final StartupRetry startup;
    /** Whether a client may have been taken; read by the thread of the signals. */
    private volatile boolean listening;
    /**
     * A start uses up processor time ahead, of which the first requests are short then: without this pause all
     * stood still for some 0.4 s, and the module took the late answers for members without room.
     */
    static final long SETTLE_US = 1_000_000;

    /** How much longer than it settles a process waits for the command channel, which may be cut off. */
    private static final long CATCH_UP_US = 1_000_000;

    private final DiscoveryClient channel;
    private final FrameServer front;
    /** Null where this director never has more than one process. */
    private final HandoverCoordinator sharing;
    /** Null where operators call nowhere. */
    private final AdminServer admin;
    private final InetSocketAddress adminAddress;
    private final GracefulShutdown departure;
    private final ConfigReloader reloader;
    private final Ledger ledger;
    /** Null where this director is no member of a fleet. */
    private final GossipService fleet;
    /** Null where no policy of the whole fleet is kept. */
    private final PolicyStore accord;

    /**
     * Says that it is ready {@code settleUs} from now, once it is opened and its loop runs. Later
     * configurations come from {@code file}; {@code kept} is null where no ledger is kept, {@code fleetSettings} where
     * the director acts alone. What the machine refuses for a moment is tried again by {@code startup}.
     */
    Assembly(Config config, Path file, Clock clock, long settleUs, LedgerSettings kept, GossipSettings fleetSettings,
            PolicyStoreSettings agreed,
            Platform platform, StartupRetry startup) throws IOException, Json.Malformed {
        Settings settings = config.settings();
        DiscoveryEvents known = DiscoveryEventParser.parse(config.known(), config.zones(), config.kinds());
        Deadlines deadlines = new Deadlines();
        Budget budget = new Budget(Runtime.getRuntime().maxMemory() / BODIES_PART);
        this.startup = startup;
        loop = startup.get("the selector", () -> new EventLoop(clock, deadlines));
        Warmup.play(settings, known);
        DescriptorShares shares = new DescriptorShares(config.sockets());
        UpstreamPool pool = new UpstreamPool(loop, clock, deadlines, budget, new UpstreamPool.Limits(
                config.streamsPerConnection(), shares.endpointConnections(false), settings.dialTimeoutUs(),
                (long) (IDLE_PART * config.connectionIdleUs())));
        ledger = kept == null ? null : Ledger.open(kept, new Ledger.Director(config.name(), config.classes(),
                settings.parentKind(), settings.originKind(), settings.allowed().maxOpen()), clock, deadlines,
                loop::post, Volume.local());
        fleet = fleetSettings == null ? null
                : new GossipService(fleetSettings, config.classes(), settings.answerSlackUs(),
                        clock, deadlines, ledger);
        UsageListener audit = fleet == null ? ledger : fleet;
        Placement placement = agreed == null ? null : new Placement(clock, settings, config.zones(), config.classes(),
                agreed.refusesAllWithoutLease(), audit);
        ProxyCore host = new ProxyCore(new RequestRouter(settings, config.seed()), settings, clock, deadlines, pool,
                placement == null ? audit : placement, placement);
        EndpointRegistry roster = new EndpointRegistry(clock, pool, host, new OutageRegistry(), settings.originKind());
        roster.applyInitial(known);
        channel = new DiscoveryClient(loop, clock, deadlines, config.channel(), new DiscoverySettings(
                config.zones(), config.kinds(), settings.dialTimeoutUs(),
                Math.min(settings.drainGraceUs(), settings.purgeNoticeUs())), known.cursor(), roster::apply);
        long settledUs = clock.micros() + settleUs;
        // What the configuration knows may be as old as the process that this one takes over from.
        BooleanSupplier caughtUp = () -> platform.passed() == null || channel.hasAnswered()
                || clock.micros() >= settledUs + CATCH_UP_US;
        front = new FrameServer(loop, clock, deadlines, budget, host, settings, config.classes(),
                new FrameServer.Terms(config.listen(), platform.passed(), shares.clientConnections(false),
                        () -> roster.hasEndpoints() && clock.micros() >= settledUs && caughtUp.getAsBoolean()));
        sharing = HandoverCoordinator.open(platform.shared(), shares, clock, deadlines, roster, front, pool);
        if (sharing != null) {
            sharing.start();
        }
        OutageMarks marks = sharing == null ? OutageMarks.NONE : sharing.marks();
        if (fleet != null) {
            fleet.open(loop, new GossipedOutages(roster, marks, clock));
            marks = new GossipedOutages.ReplicatedMarks(marks, fleet);
        }
        PolicyEndpoint[] policies = {null};
        accord = agreed == null ? null
                : new PolicyStore(agreed, new PolicyRules(document -> placement.check(
                        document.text()), (one, other) -> placement.binding(one.text(), other.text())), clock,
                        loop::post,
                        view -> {
                            if (view.step() != null) {
                                placement.holds(
                                        view.step().inTransition() ? List.of(view.policy().text(), view.next().text())
                                                : List.of(view.policy().text()),
                                        view.leaseExpiresAtMicros());
                            }
                            policies[0].holds(view);
                        });
        policies[0] = accord == null ? null : new PolicyEndpoint(accord, clock, loop::post);
        adminAddress = platform.admin();
        admin = platform.admin() == null ? null : new AdminServer(loop, clock, deadlines, new AdminService(
                new OperatorActions(roster, front, clock, marks, sharing == null ? () -> {} : sharing::catchUp),
                policies[0]));
        SettingsReload retuning = new SettingsReload(config, clock, deadlines, host, front, channel);
        departure = new GracefulShutdown(loop, clock, deadlines, front, host, retuning::longestUs,
                platform.passed() != null);
        reloader = new ConfigReloader(file, clock, deadlines, config, retuning::take);
    }

    EventLoop loop() {
        return loop;
    }

    /** Listens, and asks for the list. The loop is to run from now on. */
    void open() throws IOException {
        if (accord != null) {
            accord.start();
        }
        if (admin != null) {
            startup.get("the operators' listening socket", () -> {
                admin.open(adminAddress);
                return admin;
            });
        }
        startup.get("the clients' listening socket", this::listen);
        channel.start();
    }

    private FrameServer listen() throws IOException {
        listening = true;
        try {
            front.open();
            return front;
        } catch (IOException failure) {
            listening = false;
            throw failure;
        }
    }

    /** Whether a client may have been taken. */
    boolean listening() {
        return listening;
    }

    /** The port on which clients are taken. */
    int port() {
        return front.port();
    }

    /** The port on which operators call. */
    int adminPort() {
        return admin.port();
    }

    /** Takes new configurations in. */
    ConfigReloader reloader() {
        return reloader;
    }

    /** What is left to do after the loop has stopped. */
    void close() throws IOException {
        if (sharing != null) {
            sharing.close();
        }
        if (fleet != null) {
            fleet.close();
        }
        if (accord != null) {
            accord.close();
        }
        if (ledger != null) {
            ledger.close();
        }
    }

    /** Begins a planned end, after which the loop stops. */
    void leave() {
        departure.begin();
    }
}
