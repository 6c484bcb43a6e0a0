package clovermill.director;

import clovermill.accord.AccordSettings;
import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.fleet.FleetSettings;
import clovermill.ledger.LedgerSettings;
import clovermill.net.Clock;
import clovermill.settings.LogSettings;
import clovermill.settings.SettingsFile;
import clovermill.settings.StructuredLog;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** One director as a process: its start from files, its signals and its end. */
public final class Service {

    /** A director that cannot be started as it was told; the message is one line that says why. */
    public static final class BadStart extends Exception {

        private static final long serialVersionUID = 1L;

        BadStart(String message) {
            super(message, null, false, false);
        }
    }

    private static final System.Logger LOG = System.getLogger(Service.class.getName());

    private Service() {}

    /** Serves until it is asked to leave; {@code settings} names a file of our own settings, or is null. */
    public static void serve(String settings) throws BadStart, IOException {
        ProcessSignals signals = ProcessSignals.hear();
        boolean left = false;
        try {
            serve(settings, signals);
            left = true;
        } finally {
            signals.ended(left);
        }
    }

    private static void serve(String settings, ProcessSignals signals) throws BadStart, IOException {
        SettingsFile own = null;
        LedgerSettings ledger = null;
        FleetSettings fleet = null;
        AccordSettings accord = null;
        if (settings != null) {
            try {
                own = SettingsFile.read(settings);
                Optional<LogSettings> log = own.part("log", LogSettings.class);
                ledger = own.part("ledger", LedgerSettings.class).orElse(null);
                fleet = own.part("fleet", FleetSettings.class).orElse(null);
                accord = own.part("accord", AccordSettings.class).orElse(null);
                log.ifPresent(StructuredLog::start);
            } catch (SettingsFile.Fault fault) {
                throw new BadStart(fault.getMessage());
            }
        }
        String file = System.getenv("BALANCER_CONFIG");
        if (file == null) {
            throw new BadStart("the configuration: BALANCER_CONFIG is not set");
        }
        try {
            Clock clock = Clock.system();
            StartupRetry startup = new StartupRetry(clock);
            Config config = load(file, startup);
            Assembly director = new Assembly(config, Path.of(file), clock, Assembly.SETTLE_US, ledger, fleet,
                    accord, Platform.read(System.getenv(), config, startup), startup);
            signals.serves(director);
            director.open();
            LOG.log(Level.INFO, "{0} serves clients on {1}", config.name(), config.listen());
            director.loop().run();
            director.close();
            LOG.log(Level.INFO, "{0} has left", config.name());
        } catch (Json.Malformed bad) {
            throw new BadStart("the configuration: " + bad.getMessage());
        } catch (IllegalArgumentException bad) {
            throw new BadStart(settings + ": " + placed(bad));
        }
    }

    /** The configuration; a file that is there and cannot be opened for a moment (EMFILE, EIO) is tried again. */
    private static Config load(String file, StartupRetry startup) throws Json.Malformed {
        return Config.load(() -> startup.get("the configuration", () -> Files.readString(Path.of(file))),
                System.getenv("BALANCER_LISTEN"));
    }

    /** The place and the reason; what a subsystem does not place itself is the ledger's. */
    private static String placed(IllegalArgumentException bad) {
        return bad.getMessage().startsWith("/") ? bad.getMessage() : "/ledger: " + bad.getMessage();
    }

    /** Part of the build: serves a few made-up requests with a director's configuration. */
    public static void rehearse(String file) throws BadStart, IOException {
        try {
            Rehearsal.play(file);
        } catch (Json.Malformed bad) {
            throw new BadStart("the configuration: " + bad.getMessage());
        }
    }

    /**
     * Checks a file of our own settings, with the classes of {@code config} if that is not null, or a director's
     * configuration; throws what a start with it would say.
     */
    public static void check(String file, String config) throws BadStart, SettingsFile.Fault {
        try {
            if (config == null && SettingsFile.isConfiguration(file)) {
                Config.load(file, null);
                return;
            }
            SettingsFile own = SettingsFile.read(file);
            own.part("log", LogSettings.class);
            Optional<LedgerSettings> ledger = own.part("ledger", LedgerSettings.class);
            Optional<FleetSettings> fleet = own.part("fleet", FleetSettings.class);
            List<String> classes = config == null ? null : Config.load(config, null).classes();
            if (classes != null && ledger.isPresent()) {
                ledger.get().check(classes);
            }
            if (fleet.isPresent()) {
                fleet.get().check(classes);
            }
            own.part("accord", AccordSettings.class).ifPresent(AccordSettings::check);
        } catch (Json.Malformed bad) {
            throw new BadStart("the configuration: " + bad.getMessage());
        } catch (IllegalArgumentException bad) {
            throw new SettingsFile.Fault(file, "", placed(bad));
        }
    }
}
