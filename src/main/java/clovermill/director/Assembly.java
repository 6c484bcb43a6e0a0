package clovermill.director;

import clovermill.CacheRouter;
import clovermill.accord.Accord;
import clovermill.accord.AccordSettings;
import clovermill.accord.AccordTask;
import clovermill.admin.AdminFront;
import clovermill.admin.decide.Desk;
import clovermill.cache.CachePool;
import clovermill.channel.CommandChannel;
import clovermill.channel.Commands;
import clovermill.channel.Roster;
import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.director.leave.Departure;
import clovermill.director.operate.PeerOutages;
import clovermill.director.operate.Operations;
import clovermill.director.operate.PolicyDesk;
import clovermill.director.operate.Sharing;
import clovermill.director.retune.Retuning;
import clovermill.fleet.Fleet;
import clovermill.fleet.FleetSettings;
import clovermill.front.FrameFront;
import clovermill.host.Audit;
import clovermill.host.Host;
import clovermill.ledger.Ledger;
import clovermill.ledger.LedgerSettings;
import clovermill.module.Policy;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import clovermill.outage.OutageMarks;
import clovermill.placement.Placement;
import clovermill.outage.Outages;
import clovermill.reload.Reloader;
import clovermill.store.Volume;
import clovermill.upgrade.Shares;
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

    private final CommandChannel channel;
    private final FrameFront front;
    /** Null where this director never has more than one process. */
    private final Sharing sharing;
    /** Null where operators call nowhere. */
    private final AdminFront admin;
    private final InetSocketAddress adminAddress;
    private final Departure departure;
    private final Reloader reloader;
    private final Ledger ledger;
    /** Null where this director is no member of a fleet. */
    private final Fleet fleet;
    /** Null where no policy of the whole fleet is kept. */
    private final Accord accord;

    /**
     * Says that it is ready {@code settleUs} from now, once it is opened and its loop runs. Later
     * configurations come from {@code file}; {@code kept} is null where no ledger is kept, {@code fleetSettings} where
     * the director acts alone. What the machine refuses for a moment is tried again by {@code startup}.
     */
    Assembly(Config config, Path file, Clock clock, long settleUs, LedgerSettings kept, FleetSettings fleetSettings,
            AccordSettings agreed,
            Platform platform, StartupRetry startup) throws IOException, Json.Malformed {
        CacheRouter.Settings settings = config.settings();
        Commands known = Commands.read(config.known(), config.zones(), config.kinds());
        Deadlines deadlines = new Deadlines();
        Budget budget = new Budget(Runtime.getRuntime().maxMemory() / BODIES_PART);
        this.startup = startup;
        loop = startup.get("the selector", () -> new EventLoop(clock, deadlines));
        Warmup.play(settings, known);
        Shares shares = new Shares(config.sockets());
        CachePool pool = new CachePool(loop, clock, deadlines, budget, new CachePool.Limits(
                config.streamsPerConnection(), shares.members(false), settings.dialTimeoutUs(),
                (long) (IDLE_PART * config.connectionIdleUs())));
        ledger = kept == null ? null : Ledger.open(kept, new Ledger.Director(config.name(), config.classes(),
                settings.parentKind(), settings.originKind(), settings.allowed().maxOpen()), clock, deadlines,
                loop::post, Volume.local());
        fleet = fleetSettings == null ? null : new Fleet(fleetSettings, config.classes(), settings.answerSlackUs(),
                clock, deadlines, ledger);
        Audit audit = fleet == null ? ledger : fleet;
        Placement placement = agreed == null ? null : new Placement(clock, settings, config.zones(), config.classes(),
                agreed.allBound(), audit);
        Host host = new Host(new Policy(settings, config.seed()), settings, clock, deadlines, pool,
                placement == null ? audit : placement, placement);
        Roster roster = new Roster(clock, pool, host, new Outages(), settings.originKind());
        roster.start(known);
        channel = new CommandChannel(loop, clock, deadlines, config.channel(), new CommandChannel.Terms(
                config.zones(), config.kinds(), settings.dialTimeoutUs(),
                Math.min(settings.drainGraceUs(), settings.purgeNoticeUs())), known.cursor(), roster::apply);
        long settledUs = clock.micros() + settleUs;
        // What the configuration knows may be as old as the process that this one takes over from.
        BooleanSupplier caughtUp = () -> platform.passed() == null || channel.heard()
                || clock.micros() >= settledUs + CATCH_UP_US;
        front = new FrameFront(loop, clock, deadlines, budget, host, settings, config.classes(),
                new FrameFront.Terms(config.listen(), platform.passed(), shares.clients(false),
                        () -> roster.known() && clock.micros() >= settledUs && caughtUp.getAsBoolean()));
        sharing = Sharing.open(platform.shared(), shares, clock, deadlines, roster, front, pool);
        if (sharing != null) {
            sharing.start();
        }
        OutageMarks marks = sharing == null ? OutageMarks.NONE : sharing.marks();
        if (fleet != null) {
            fleet.open(loop, new PeerOutages(roster, marks, clock));
            marks = new PeerOutages.ReplicatedMarks(marks, fleet);
        }
        PolicyDesk[] policies = {null};
        accord = agreed == null ? null : new Accord(agreed, new AccordTask.Meaning(document -> placement.check(
                document.text()), (one, other) -> placement.binding(one.text(), other.text())), clock, loop::post,
                view -> {
                    if (view.step() != null) {
                        placement.holds(view.step().both() ? List.of(view.policy().text(), view.next().text())
                                : List.of(view.policy().text()), view.untilUs());
                    }
                    policies[0].holds(view);
                });
        policies[0] = accord == null ? null : new PolicyDesk(accord, clock, loop::post);
        adminAddress = platform.admin();
        admin = platform.admin() == null ? null : new AdminFront(loop, clock, deadlines, new Desk(
                new Operations(roster, front, clock, marks, sharing == null ? () -> {} : sharing::catchUp),
                policies[0]));
        Retuning retuning = new Retuning(config, clock, deadlines, host, front, channel);
        departure = new Departure(loop, clock, deadlines, front, host, retuning::longestUs, platform.passed() != null);
        reloader = new Reloader(file, clock, deadlines, config, retuning::take);
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

    private FrameFront listen() throws IOException {
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
    Reloader reloader() {
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
