package clovermill.controlplane.outage;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

/**
 * Records outages in a folder that the processes of one director share.
 *
 * <p>A disabled cache has a file {@code out-ID}, whose content distinguishes one outage from another; a cache that was
 * enabled has a file {@code back-ID} with the stamp of the enable call. A file is written before the response to the
 * call, and depends on no other file, so that processes need no lock. The folder is in memory and a read that finds no
 * change costs one system call, so reads and writes are done on the loop.
 */
public final class OutageFolder implements OutageMarks {

    private static final System.Logger LOG = System.getLogger(OutageFolder.class.getName());
    private static final String DISABLED_PREFIX = "out-";
    private static final String ENABLED_PREFIX = "back-";
    /** Upper bound on the resolution of the folder's time: within it a further change may not change the time. */
    private static final long TIME_RESOLUTION_US = 50_000;
    /** The folder is read at least this often, as a wall clock that is stepped back may repeat a time. */
    private static final long MAX_READ_INTERVAL_US = 5_000_000;
    /** Delay before a failed write is retried. */
    private static final long RETRY_INTERVAL_US = 500_000;

    /** A cache's mark; {@code stampUnixMs} identifies the enable call, 0 if the cache is disabled. */
    private record Mark(boolean disabled, long stampUnixMs) {}

    /** The contents of a cache's two files, empty for one that does not exist. */
    private record RecordedMarks(Optional<String> disabled, Optional<String> enabled) {}

    /** A mark that could not be written, and the recorded marks after the failure, empty if they could not be read. */
    private record PendingMark(Mark mark, Optional<RecordedMarks> recorded) {}

    private final Path folder;
    private final LongSupplier monotonicUs;
    /** Marks that could not be written, by cache: in force in this process, and retried until written. */
    private final Map<String, PendingMark> pending = new LinkedHashMap<>();
    private long retryAtUs;
    /** A random number for this process; with the number of outages written, the content of an outage's file. */
    private final long writerId = ThreadLocalRandom.current().nextLong();
    private long outagesWritten;
    /** The folder's time at the last read, compared for equality only; null if the folder must be read again. */
    private FileTime folderTime;
    private long folderTimeSeenUs;
    private long lastReadUs;

    /**
     * Creates the folder if it does not exist.
     *
     * @param monotonicUs a clock in microseconds that is never stepped
     * @throws IOException if the folder cannot be created
     */
    public OutageFolder(Path folder, LongSupplier monotonicUs) throws IOException {
        this.monotonicUs = monotonicUs;
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public void disable(String id) {
        recordOrRetryLater(id, new Mark(true, 0));
    }

    @Override
    public void enable(String id, long stampUnixMs) {
        recordOrRetryLater(id, new Mark(false, stampUnixMs));
    }

    @Override
    public boolean tryEnable(String id, long stampUnixMs) {
        boolean recorded = writeEnabled(id, stampUnixMs) && deleteDisabled(id);
        if (recorded) {
            pending.remove(id);
        }
        return recorded;
    }

    @Override
    public boolean isRecorded(String id) {
        return !pending.containsKey(id);
    }

    /**
     * Retries writing the pending marks, unless the last failure is less than {@link #RETRY_INTERVAL_US} ago. To be
     * called a few times a second, whether or not another process exists, as a later start reads the folder, too. A
     * mark is dropped if another process has since recorded a mark of the same cache, which is of a later call
     * (docs/incidents/outage-undone.md).
     */
    public void retryPending() {
        if (pending.isEmpty() || monotonicUs.getAsLong() < retryAtUs) {
            return;
        }
        for (Map.Entry<String, PendingMark> each : List.copyOf(pending.entrySet())) {
            String id = each.getKey();
            if (isSuperseded(id, each.getValue())) {
                pending.remove(id);
                LOG.log(Level.INFO, "the outage mark of {0} is dropped: another process has recorded a later one", id);
            } else if (recordOrRetryLater(id, each.getValue().mark)) {
                LOG.log(Level.INFO, "the outage mark of {0} is recorded in the shared folder", id);
            } else {
                return;
            }
        }
    }

    private boolean isSuperseded(String id, PendingMark mark) {
        Optional<RecordedMarks> current = recordedMarks(id);
        return mark.recorded.isPresent() && current.isPresent() && !mark.recorded.equals(current);
    }

    private Optional<RecordedMarks> recordedMarks(String id) {
        try {
            return Optional.of(new RecordedMarks(content(DISABLED_PREFIX, id), content(ENABLED_PREFIX, id)));
        } catch (IOException failure) {
            logReadFailure(failure);
            return Optional.empty();
        }
    }

    private Optional<String> content(String prefix, String id) throws IOException {
        try {
            return Optional.of(Files.readString(file(prefix, id)));
        } catch (NoSuchFileException missing) {
            return Optional.empty();
        }
    }

    private boolean recordOrRetryLater(String id, Mark mark) {
        boolean recorded = record(id, mark);
        if (recorded) {
            pending.remove(id);
        } else {
            pending.put(id, new PendingMark(mark, recordedMarks(id)));
        }
        return recorded;
    }

    private boolean record(String id, Mark mark) {
        boolean recorded;
        if (mark.disabled) {
            recorded = write(DISABLED_PREFIX, id, writerId + " " + ++outagesWritten);
        } else {
            boolean stamped = writeEnabled(id, mark.stampUnixMs);
            // The file of the outage can be deleted even if the folder is full.
            recorded = deleteDisabled(id) && stamped;
        }
        if (!recorded) {
            retryAtUs = monotonicUs.getAsLong() + RETRY_INTERVAL_US;
        }
        return recorded;
    }

    private boolean writeEnabled(String id, long stampUnixMs) {
        return write(ENABLED_PREFIX, id, Long.toString(stampUnixMs));
    }

    private boolean deleteDisabled(String id) {
        try {
            Files.deleteIfExists(file(DISABLED_PREFIX, id));
            return true;
        } catch (IOException failure) {
            logWriteFailure(id, failure);
            return false;
        }
    }

    /** Writes a file atomically: other processes read all of it or nothing. */
    private boolean write(String prefix, String id, String text) {
        Path temporary = folder.resolve("new-" + ProcessHandle.current().pid());
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, file(prefix, id), StandardCopyOption.ATOMIC_MOVE);
            return true;
        } catch (IOException failure) {
            logWriteFailure(id, failure);
            return false;
        }
    }

    /** Returns the recorded and the pending marks; empty if none has changed since the last read, or if it failed. */
    public Optional<OutageSnapshot> readIfChanged() {
        try {
            return mayHaveChanged() ? Optional.of(read()) : Optional.empty();
        } catch (IOException failure) {
            // Forces a read, as the folder's time may still be the same when it is readable again.
            folderTime = null;
            logReadFailure(failure);
        } catch (IllegalArgumentException notAMark) {
            logReadFailure(notAMark);
        }
        return Optional.empty();
    }

    private OutageSnapshot read() throws IOException {
        Set<String> disabledIds = new HashSet<>();
        Map<String, Long> enableStamps = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.startsWith(DISABLED_PREFIX)) {
                    disabledIds.add(id(name, DISABLED_PREFIX));
                } else if (name.startsWith(ENABLED_PREFIX)) {
                    readEnabled(file, id(name, ENABLED_PREFIX), enableStamps);
                }
            }
        }
        pending.forEach((id, each) -> {
            if (each.mark.disabled) {
                disabledIds.add(id);
            } else {
                disabledIds.remove(id);
                enableStamps.put(id, each.mark.stampUnixMs);
            }
        });
        return new OutageSnapshot(disabledIds, enableStamps);
    }

    /** Returns whether the folder may have changed since the last read; if so, records a read at the current time. */
    private boolean mayHaveChanged() throws IOException {
        FileTime time = Files.getLastModifiedTime(folder);
        long nowUs = monotonicUs.getAsLong();
        if (!time.equals(folderTime)) {
            folderTime = time;
            folderTimeSeenUs = nowUs;
        } else if (lastReadUs - folderTimeSeenUs > TIME_RESOLUTION_US
                && nowUs - lastReadUs < MAX_READ_INTERVAL_US) {
            return false;
        }
        lastReadUs = nowUs;
        return true;
    }

    private static void readEnabled(Path file, String id, Map<String, Long> enableStamps) throws IOException {
        try {
            enableStamps.put(id, Long.parseLong(Files.readString(file)));
        } catch (NumberFormatException | NoSuchFileException notAMark) {
            // The file was written by another program, or deleted after the folder was listed.
        }
    }

    private Path file(String prefix, String id) {
        return folder.resolve(prefix + URLEncoder.encode(id, StandardCharsets.UTF_8));
    }

    private static String id(String name, String prefix) {
        return URLDecoder.decode(name.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    private static void logReadFailure(Exception failure) {
        LOG.log(Level.WARNING, "cannot read the shared folder of outages: {0}", failure.toString());
    }

    private static void logWriteFailure(String id, IOException failure) {
        LOG.log(Level.WARNING, "cannot record the outage mark of {0} in the shared folder: {1}", id,
                failure.toString());
    }
}
