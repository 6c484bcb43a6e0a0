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
 * Outages recorded in a folder that the processes of one director share.
 *
 * <p>A cache that is out has a file {@code out-ID}, whose content tells one outage from another; one that came back
 * has a file {@code back-ID} with the stamp of its return. A file is written before the call is answered, and depends
 * on no other file, so that processes need no lock. The folder is in memory and a read that finds no change costs one
 * system call, so both are done on the loop.
 */
public final class OutageFolder implements OutageMarks {

    private static final System.Logger LOG = System.getLogger(OutageFolder.class.getName());
    private static final String OUT_PREFIX = "out-";
    private static final String BACK_PREFIX = "back-";
    /** The resolution of the folder's time may be this coarse: within it a further change may not show. */
    private static final long TIME_RESOLUTION_US = 50_000;
    /** The folder is read again after this long in any case: a wall clock that is stepped back may repeat a time. */
    private static final long MAX_READ_INTERVAL_US = 5_000_000;
    /** How long to wait after a failed write before it is tried again. */
    private static final long RETRY_INTERVAL_US = 500_000;

    /** A mark that is not in the folder: an outage, or a return with its stamp. */
    private record PendingMark(boolean out, long stampUnixMs) {}

    /** What the folder holds of a cache: the content of its two files, empty for one that does not exist. */
    private record RecordedMarks(Optional<String> outage, Optional<String> back) {}

    /** A pending mark, and what the folder held after it failed to be written; empty where that could not be read. */
    private record Pending(PendingMark mark, Optional<RecordedMarks> found) {}

    private final Path folder;
    private final LongSupplier monotonicUs;
    /** Marks that could not be written: in force in this process, and written again until that succeeds. */
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private long retryAtUs;
    /** A random number for this process; with the outages that it has written, the content of an outage's file. */
    private final long writer = ThreadLocalRandom.current().nextLong();
    private long outagesWritten;
    /** The folder's time at the last read, compared for equality alone; null where it is to be read in any case. */
    private FileTime folderTime;
    private long folderTimeFoundUs;
    private long lastReadUs;

    /**
     * Creates the folder unless it exists.
     *
     * @param monotonicUs a clock in microseconds that is never stepped
     * @throws IOException if the folder cannot be created
     */
    public OutageFolder(Path folder, LongSupplier monotonicUs) throws IOException {
        this.monotonicUs = monotonicUs;
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public void takeOut(String id) {
        recordOrKeep(id, new PendingMark(true, 0));
    }

    @Override
    public void putBack(String id, long stampUnixMs) {
        recordOrKeep(id, new PendingMark(false, stampUnixMs));
    }

    @Override
    public boolean tryPutBack(String id, long stampUnixMs) {
        boolean recorded = writeReturn(id, stampUnixMs) && deleteOutage(id);
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
     * Writes the pending marks again, unless the last failure is less than {@link #RETRY_INTERVAL_US} ago. To be
     * called a few times a second, whether or not another process exists: a later start reads the folder, too. A mark
     * is dropped where another process has recorded one of the same cache since: that is the later call
     * (docs/incidents/outage-undone.md).
     */
    public void retryPending() {
        if (pending.isEmpty() || monotonicUs.getAsLong() < retryAtUs) {
            return;
        }
        for (Map.Entry<String, Pending> each : List.copyOf(pending.entrySet())) {
            String id = each.getKey();
            if (isSuperseded(id, each.getValue())) {
                pending.remove(id);
                LOG.log(Level.INFO, "the outage mark of {0} is dropped: another process has recorded a later one", id);
            } else if (recordOrKeep(id, each.getValue().mark)) {
                LOG.log(Level.INFO, "the outage mark of {0} is recorded in the shared folder", id);
            } else {
                return;
            }
        }
    }

    private boolean isSuperseded(String id, Pending each) {
        Optional<RecordedMarks> now = recordedMarks(id);
        return each.found.isPresent() && now.isPresent() && !each.found.equals(now);
    }

    private Optional<RecordedMarks> recordedMarks(String id) {
        try {
            return Optional.of(new RecordedMarks(content(OUT_PREFIX, id), content(BACK_PREFIX, id)));
        } catch (IOException failure) {
            logReadFailure(failure);
            return Optional.empty();
        }
    }

    private Optional<String> content(String prefix, String id) throws IOException {
        try {
            return Optional.of(Files.readString(file(prefix, id)));
        } catch (NoSuchFileException none) {
            return Optional.empty();
        }
    }

    private boolean recordOrKeep(String id, PendingMark mark) {
        boolean recorded = record(id, mark);
        if (recorded) {
            pending.remove(id);
        } else {
            pending.put(id, new Pending(mark, recordedMarks(id)));
        }
        return recorded;
    }

    private boolean record(String id, PendingMark mark) {
        boolean recorded;
        if (mark.out) {
            recorded = write(OUT_PREFIX, id, writer + " " + ++outagesWritten);
        } else {
            boolean stamped = writeReturn(id, mark.stampUnixMs);
            // A full folder still lets the mark of the outage be deleted.
            recorded = deleteOutage(id) && stamped;
        }
        if (!recorded) {
            retryAtUs = monotonicUs.getAsLong() + RETRY_INTERVAL_US;
        }
        return recorded;
    }

    private boolean writeReturn(String id, long stampUnixMs) {
        return write(BACK_PREFIX, id, Long.toString(stampUnixMs));
    }

    private boolean deleteOutage(String id) {
        try {
            Files.deleteIfExists(file(OUT_PREFIX, id));
            return true;
        } catch (IOException failure) {
            logWriteFailure(id, failure);
            return false;
        }
    }

    /** Writes a file in one step: other processes see all of it or nothing. */
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

    /** The recorded and the pending outages; empty where none has changed since the last read, or it failed. */
    public Optional<OutageSnapshot> readIfChanged() {
        try {
            return mayHaveChanged() ? Optional.of(read()) : Optional.empty();
        } catch (IOException failure) {
            // Nothing may change once it can be read again.
            folderTime = null;
            logReadFailure(failure);
        } catch (IllegalArgumentException notAMark) {
            logReadFailure(notAMark);
        }
        return Optional.empty();
    }

    private OutageSnapshot read() throws IOException {
        Set<String> out = new HashSet<>();
        Map<String, Long> back = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.startsWith(OUT_PREFIX)) {
                    out.add(id(name, OUT_PREFIX));
                } else if (name.startsWith(BACK_PREFIX)) {
                    readReturn(file, id(name, BACK_PREFIX), back);
                }
            }
        }
        pending.forEach((id, each) -> {
            if (each.mark.out) {
                out.add(id);
            } else {
                out.remove(id);
                back.put(id, each.mark.stampUnixMs);
            }
        });
        return new OutageSnapshot(out, back);
    }

    /** Whether the folder's time has changed since the last read, or may not show a change; then notes a read. */
    private boolean mayHaveChanged() throws IOException {
        FileTime time = Files.getLastModifiedTime(folder);
        long nowUs = monotonicUs.getAsLong();
        if (!time.equals(folderTime)) {
            folderTime = time;
            folderTimeFoundUs = nowUs;
        } else if (lastReadUs - folderTimeFoundUs > TIME_RESOLUTION_US
                && nowUs - lastReadUs < MAX_READ_INTERVAL_US) {
            return false;
        }
        lastReadUs = nowUs;
        return true;
    }

    private static void readReturn(Path file, String id, Map<String, Long> back) throws IOException {
        try {
            back.put(id, Long.parseLong(Files.readString(file)));
        } catch (NumberFormatException | NoSuchFileException notAMark) {
            // Written by another program, or deleted since the folder was listed.
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
