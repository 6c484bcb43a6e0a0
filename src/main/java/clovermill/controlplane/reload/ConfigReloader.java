package clovermill.controlplane.reload;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reloads the configuration file without interrupting requests. A signal opens a window in which the file is checked
 * repeatedly, so that a file that is being replaced, half written or missing at the time of the signal is still
 * applied; if the signal is not delivered, the window never closes. A check costs one system call for the file's
 * attributes. On the loop's thread.
 */
public final class ConfigReloader {

    /** Time between two checks: an eighth of {@link #WINDOW_US}. */
    static final long CHECK_INTERVAL_US = 500_000;
    /** Window after a signal: the rules count events of a new channel as received 4 s after the signal. */
    static final long WINDOW_US = 4_000_000;

    private static final System.Logger LOG = System.getLogger(ConfigReloader.class.getName());

    private final Path file;
    private final Config.Source source;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Target target;
    private final ConfigWatch watch;
    /** The configuration with which the process was started. */
    private final Config initial;
    private Deadlines.Deadline nextCheck;
    private long windowEndUs;

    /** Applies new configurations to the running process. */
    @FunctionalInterface
    public interface Target {

        /**
         * Applies a complete and checked configuration.
         *
         * @throws Json.Malformed if it is invalid; no part of it is applied then
         */
        void apply(Config config) throws Json.Malformed;
    }

    /**
     * Creates a reloader that considers the present file as read.
     *
     * @param initial the configuration that was read from the file
     */
    public ConfigReloader(Path file, Clock clock, Deadlines deadlines, Config initial, Target target) {
        this(file, () -> Files.readString(file), clock, deadlines, initial, target);
    }

    /** Creates a reloader that reads the file's text from {@code source}. */
    ConfigReloader(Path file, Config.Source source, Clock clock, Deadlines deadlines, Config initial, Target target) {
        this.file = file;
        this.source = source;
        this.clock = clock;
        this.deadlines = deadlines;
        this.initial = initial;
        this.target = target;
        this.watch = new ConfigWatch(attributes());
    }

    /** Reads the file now, and checks it for changes until the window closes. */
    public void reload() {
        watch.forceRead();
        windowEndUs = Math.max(windowEndUs, clock.micros() + WINDOW_US);
        check();
    }

    /** Checks the file for changes from now on, without end; for processes to which the signal is not delivered. */
    public void pollAlways() {
        windowEndUs = Long.MAX_VALUE;
        check();
    }

    private void check() {
        deadlines.cancel(nextCheck);
        if (clock.micros() + CHECK_INTERVAL_US <= windowEndUs) {
            scheduleCheck();
        }
        Optional<ConfigWatch.Attributes> current = attributes();
        if (watch.shouldRead(current)) {
            read();
        } else if (current.isEmpty()) {
            warn("there is no such file");
        }
    }

    private void read() {
        try {
            Config next = Config.read(source.read(), null);
            initial.checkNext(next);
            target.apply(next);
        } catch (Json.Malformed malformed) {
            warn(malformed.getMessage());
        } catch (CharacterCodingException notText) {
            warn("the file can't be read: " + notText.getMessage());
        } catch (IOException unreadable) {
            watch.readFailed();
            deadlines.cancel(nextCheck);
            scheduleCheck(); // even after the window, as the signalled change has not been applied yet
            warn("the file can't be read: " + unreadable.getMessage());
        }
    }

    private void scheduleCheck() {
        nextCheck = deadlines.add(clock.micros() + CHECK_INTERVAL_US, this::check);
    }

    private void warn(String reason) {
        if (watch.shouldWarn()) {
            LOG.log(Level.WARNING, "the new configuration is not used: {0}: {1}", file, reason);
        }
    }

    private Optional<ConfigWatch.Attributes> attributes() {
        try {
            BasicFileAttributes found = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(new ConfigWatch.Attributes(found.fileKey(), found.size(),
                    found.lastModifiedTime().to(TimeUnit.NANOSECONDS)));
        } catch (IOException missing) {
            return Optional.empty();
        }
    }
}
