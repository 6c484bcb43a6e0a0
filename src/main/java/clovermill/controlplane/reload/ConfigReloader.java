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
 * Reloads the configuration file while requests are open. A signal opens a window in which the file is checked
 * repeatedly, so that one that is being replaced, half written or missing at the signal is still applied; where the
 * signal is not delivered the window never ends. A check costs one system call for the file's attributes. On the loop's
 * thread.
 */
public final class ConfigReloader {

    /** Between two checks: an eighth of the time after which the rules count the new channel's events as received. */
    static final long CHECK_INTERVAL_US = 500_000;
    /** From a signal: the rules count a new channel's events as received 4 s after it. */
    static final long WINDOW_US = 4_000_000;

    private static final System.Logger LOG = System.getLogger(ConfigReloader.class.getName());

    private final Path file;
    private final Config.Source source;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Target target;
    private final ConfigWatch watch;
    private Deadlines.Deadline nextCheck;
    private Config inForce;
    private long windowEndUs;

    /** What a new configuration is applied to. */
    @FunctionalInterface
    public interface Target {

        /**
         * Applies a complete and checked configuration.
         *
         * @throws Json.Malformed if it cannot be used; nothing of it is applied then
         */
        void apply(Config config) throws Json.Malformed;
    }

    /** The file as it is now counts as read; it gave {@code inForce}. */
    public ConfigReloader(Path file, Clock clock, Deadlines deadlines, Config inForce, Target target) {
        this(file, () -> Files.readString(file), clock, deadlines, inForce, target);
    }

    /** As above, with the text of the file from {@code source}. */
    ConfigReloader(Path file, Config.Source source, Clock clock, Deadlines deadlines, Config inForce, Target target) {
        this.file = file;
        this.source = source;
        this.clock = clock;
        this.deadlines = deadlines;
        this.inForce = inForce;
        this.target = target;
        this.watch = new ConfigWatch(attributes());
    }

    /** Reads the file now, and checks it for changes until the window ends. */
    public void reload() {
        watch.forceRead();
        windowEndUs = Math.max(windowEndUs, clock.micros() + WINDOW_US);
        check();
    }

    /** Checks the file for changes from now on: the signal is not delivered. */
    public void pollAlways() {
        windowEndUs = Long.MAX_VALUE;
        check();
    }

    private void check() {
        deadlines.cancel(nextCheck);
        if (clock.micros() + CHECK_INTERVAL_US <= windowEndUs) {
            scheduleCheck();
        }
        Optional<ConfigWatch.Attributes> found = attributes();
        if (watch.shouldRead(found)) {
            read();
        } else if (found.isEmpty()) {
            warn("there is no such file");
        }
    }

    private void read() {
        try {
            Config next = Config.read(source.read(), null);
            inForce.checkNext(next);
            target.apply(next);
            inForce = next;
        } catch (Json.Malformed malformed) {
            warn(malformed.getMessage());
        } catch (CharacterCodingException notText) {
            warn("the file can't be read: " + notText.getMessage());
        } catch (IOException unreadable) {
            watch.readFailed();
            deadlines.cancel(nextCheck);
            scheduleCheck(); // also after the window: the change was signalled and is still to be applied
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
