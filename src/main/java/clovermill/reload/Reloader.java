package clovermill.reload;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.TimeUnit;

/**
 * Takes a new configuration from its file while requests are in flight. A signal opens a span of time in which
 * the file is looked at now and then, so that one that is replaced, half written or missing just then is still
 * taken; where the signal cannot come that span never ends. Runs on the loop, a look costs one call for the
 * file's attributes.
 */
public final class Reloader {

    private static final System.Logger LOG = System.getLogger(Reloader.class.getName());
    /** An eighth of the time after which what the new channel tells counts as told; see below. */
    static final long LOOK_US = 500_000;
    /** The rules count a new channel's events as told 4 s after the signal; what comes later needs a new one. */
    static final long SPAN_US = 4_000_000;

    private final Path file;
    private final Config.Source source;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Taker taker;
    private final ConfigWatch watch;
    private Deadlines.Deadline next;
    private Config inForce;
    private long untilUs;

    /** Takes over a new configuration. */
    public interface Taker {

        /** Takes a whole and usable configuration, or throws without having taken anything of it. */
        void take(Config config) throws Json.Malformed;
    }

    /** {@code taker} gets each configuration that is whole; the file as it is now counts as known. */
    public Reloader(Path file, Clock clock, Deadlines deadlines, Config inForce, Taker taker) {
        this(file, () -> Files.readString(file), clock, deadlines, inForce, taker);
    }

    /** As above, with the text of the file from {@code source}. */
    Reloader(Path file, Config.Source source, Clock clock, Deadlines deadlines, Config inForce, Taker taker) {
        this.file = file;
        this.source = source;
        this.clock = clock;
        this.deadlines = deadlines;
        this.inForce = inForce;
        this.taker = taker;
        this.watch = new ConfigWatch(stamp());
    }

    /** The signal has come: reads the file now, and looks for changes for a while. */
    public void signalled() {
        watch.forget();
        untilUs = Math.max(untilUs, clock.micros() + SPAN_US);
        look();
    }

    /** The signal cannot come: looks for changes from now on. */
    public void watchAlways() {
        untilUs = Long.MAX_VALUE;
        look();
    }

    private void look() {
        deadlines.cancel(next);
        if (clock.micros() + LOOK_US <= untilUs) {
            next = deadlines.add(clock.micros() + LOOK_US, this::look);
        }
        ConfigWatch.Stamp seen = stamp();
        if (watch.look(seen)) {
            try {
                Config read = Config.read(source.read(), null);
                inForce.checkNext(read);
                taker.take(read);
                inForce = read;
            } catch (Json.Malformed bad) {
                warn(bad.getMessage());
            } catch (CharacterCodingException noText) {
                warn("the file can't be read: " + noText.getMessage());
            } catch (IOException unreadable) {
                watch.unread();
                deadlines.cancel(next); // it is owed, however long ago the signal came
                next = deadlines.add(clock.micros() + LOOK_US, this::look);
                warn("the file can't be read: " + unreadable.getMessage());
            }
        } else if (seen == null) {
            warn("there is no such file");
        }
    }

    private void warn(String reason) {
        if (watch.warns()) {
            LOG.log(Level.WARNING, "the new configuration is not used: {0}: {1}", file, reason);
        }
    }

    private ConfigWatch.Stamp stamp() {
        try {
            BasicFileAttributes seen = Files.readAttributes(file, BasicFileAttributes.class);
            return new ConfigWatch.Stamp(seen.fileKey(), seen.size(), seen.lastModifiedTime().to(TimeUnit.NANOSECONDS));
        } catch (IOException gone) {
            return null;
        }
    }
}
