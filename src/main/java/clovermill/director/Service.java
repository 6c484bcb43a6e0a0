package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.config.settings.LogSettings;
import clovermill.config.settings.SettingsFile;
import clovermill.config.settings.StructuredLog;
import clovermill.controlplane.gossip.GossipSettings;
import clovermill.controlplane.policystore.PolicyStoreSettings;
import clovermill.ledger.LedgerSettings;
import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Runs a director as a process: starts it from files and the environment, and serves until it has shut down. */
public final class Service {

    private static final System.Logger LOG = System.getLogger(Service.class.getName());
    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";
    private static final String LISTEN_VARIABLE = "BALANCER_LISTEN";

    private Service() {}

    /**
     * Serves clients until SIGTERM, then shuts down gracefully.
     *
     * @param settingsFile the settings of the optional subsystems, or null for none
     * @throws StartupException if the environment, the configuration or the settings cannot be used
     * @throws IOException if a socket or folder cannot be opened, or the ledger cannot be closed
     */
    public static void serve(String settingsFile) throws StartupException, IOException {
        ProcessSignals signals = ProcessSignals.install();
        boolean completed = false;
        try {
            run(Optional.ofNullable(settingsFile), signals);
            completed = true;
        } finally {
            signals.markEnded(completed);
        }
    }

    private static void run(Optional<String> settingsFile, ProcessSignals signals)
            throws StartupException, IOException {
        SubsystemSettings subsystems = settingsFile.isEmpty() ? SubsystemSettings.NONE
                : readSettings(settingsFile.get());
        String configFile = System.getenv(CONFIG_VARIABLE);
        if (configFile == null) {
            throw new StartupException("the configuration: " + CONFIG_VARIABLE + " is not set");
        }
        try {
            run(configFile, subsystems, signals);
        } catch (Json.Malformed malformed) {
            throw unusableConfiguration(malformed);
        } catch (IllegalArgumentException invalid) {
            throw new StartupException(settingsFile.orElse(null) + ": " + withPointer(invalid));
        }
    }

    /** Reads the settings and starts structured logging if they configure it. */
    private static SubsystemSettings readSettings(String settingsFile) throws StartupException {
        try {
            SettingsFile file = SettingsFile.read(settingsFile);
            Optional<LogSettings> log = file.part("log", LogSettings.class);
            SubsystemSettings subsystems = SubsystemSettings.read(file);
            log.ifPresent(StructuredLog::start);
            return subsystems;
        } catch (SettingsFile.InvalidSettingsException fault) {
            throw new StartupException(fault.getMessage());
        }
    }

    private static void run(String configFile, SubsystemSettings subsystems, ProcessSignals signals)
            throws Json.Malformed, IOException {
        Clock clock = Clock.system();
        StartupRetry startup = new StartupRetry(clock);
        Config config = load(configFile, startup);
        Platform platform = Platform.read(System.getenv(), config, startup);
        Assembly director = new Assembly(config, Path.of(configFile), clock, Assembly.SETTLE_US, subsystems,
                platform, startup);
        signals.passTo(director);
        director.open();
        LOG.log(Level.INFO, "{0} serves clients on {1}", config.name(), config.listen());
        director.loop().run();
        director.close();
        LOG.log(Level.INFO, "{0} has shut down", config.name());
    }

    /** Loads the configuration; transient I/O errors (EMFILE, EIO) are retried. */
    private static Config load(String configFile, StartupRetry startup) throws Json.Malformed {
        return Config.load(() -> startup.get("the configuration", () -> Files.readString(Path.of(configFile))),
                System.getenv(LISTEN_VARIABLE));
    }

    private static StartupException unusableConfiguration(Json.Malformed cause) {
        return new StartupException("the configuration: " + cause.getMessage());
    }

    /** Returns the JSON pointer and the reason; a message without a pointer comes from the ledger. */
    private static String withPointer(IllegalArgumentException invalid) {
        return invalid.getMessage().startsWith("/") ? invalid.getMessage() : "/ledger: " + invalid.getMessage();
    }

    /**
     * Part of the build: serves a few generated requests with a director's configuration; the JVM then archives the
     * classes that serving loads.
     *
     * @throws StartupException if the configuration cannot be used
     * @throws IOException if it cannot be read, or a loopback socket cannot be opened
     */
    public static void runForClassDataArchive(String configFile) throws StartupException, IOException {
        try {
            ClassDataArchiveRun.run(configFile);
        } catch (Json.Malformed malformed) {
            throw unusableConfiguration(malformed);
        }
    }

    /**
     * Checks a settings file or a director's configuration with the checks of a start.
     *
     * @param file the file to check
     * @param configFile a configuration with the request classes that the settings name, or null
     * @throws StartupException if the configuration cannot be used
     * @throws SettingsFile.InvalidSettingsException if the settings cannot be used
     */
    public static void check(String file, String configFile)
            throws StartupException, SettingsFile.InvalidSettingsException {
        try {
            if (configFile == null && SettingsFile.isConfiguration(file)) {
                Config.load(file, null);
                return;
            }
            checkSettings(file, configFile);
        } catch (Json.Malformed malformed) {
            throw unusableConfiguration(malformed);
        } catch (IllegalArgumentException invalid) {
            throw new SettingsFile.InvalidSettingsException(file, "", withPointer(invalid));
        }
    }

    private static void checkSettings(String file, String configFile)
            throws Json.Malformed, SettingsFile.InvalidSettingsException {
        SettingsFile settings = SettingsFile.read(file);
        settings.part("log", LogSettings.class);
        Optional<LedgerSettings> ledger = settings.part("ledger", LedgerSettings.class);
        Optional<GossipSettings> gossip = settings.part("fleet", GossipSettings.class);
        List<String> classes = configFile == null ? null : Config.load(configFile, null).classes();
        if (classes != null && ledger.isPresent()) {
            ledger.get().check(classes);
        }
        if (gossip.isPresent()) {
            gossip.get().check(classes);
        }
        settings.part("accord", PolicyStoreSettings.class).ifPresent(PolicyStoreSettings::check);
    }
}
