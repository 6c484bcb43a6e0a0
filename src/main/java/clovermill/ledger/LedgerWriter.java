package clovermill.ledger;

import clovermill.storage.CrashPoint;
import clovermill.storage.FrameCodec;
import clovermill.storage.SegmentWriter;
import clovermill.storage.Volume;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The thread that writes the log of a ledger, from the pages of a {@link StagingArea}. Entries survive the end of the
 * process once they are staged, and a power failure after the next sync, which follows after a time or a number of
 * bytes, whichever comes first. A page is retained until it is synced: after a fault the thread opens a new segment
 * and writes the page again; the reader detects duplicates by their sequence numbers.
 */
final class LedgerWriter {

    /** The intervals and sizes of writing. */
    record Options(long syncMs, int syncBytes, long segmentBytes, long retryMs) {}

    private static final System.Logger LOG = System.getLogger(LedgerWriter.class.getName());
    private static final long IDLE_MS = 1000;

    private final LedgerFolder folder;
    private final Volume volume;
    private final StagingArea staging;
    private final Options options;
    private final LogFormat format = new LogFormat();
    /** Pages that are not synced, except for the first {@code syncedAt} bytes of the first page. */
    private final List<StagingArea.Page> unsyncedPages = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "ledger");
    private LogHeader header;
    private SegmentWriter segment;
    private Runnable afterClosing;
    private int syncedAt;
    /** The position in the pages up to which they are written to the current segment. */
    private int pageIndex;
    private int pageOffset;
    private long syncedSize;
    private long syncByNs;
    /** The latest time of any written entry. */
    private long latestMs;
    private long writtenSeq;
    private long syncedSeq;
    private volatile boolean failing;
    private volatile boolean closing;

    /** Creates a writer; {@code header} is the header of the first segment. */
    LedgerWriter(LedgerFolder folder, Volume volume, StagingArea staging, LogHeader header, Options options) {
        this.folder = folder;
        this.volume = volume;
        this.staging = staging;
        this.header = header;
        this.options = options;
        this.latestMs = header.openedMs();
        this.syncedSeq = header.firstSeq() - 1;
        thread.setDaemon(true);
    }

    /**
     * Opens the first segment, so that a folder that is not writable is detected before anything is served, and
     * starts the thread. {@code listener} is run on this thread after each period closing.
     */
    void start(Runnable listener) throws IOException {
        afterClosing = listener;
        openSegment();
        thread.start();
    }

    /** Returns whether the last attempt to write failed. */
    boolean isFailing() {
        return failing;
    }

    private void run() {
        try {
            while (!closing || !staging.isDrained() || !unsyncedPages.isEmpty()) {
                runOnce();
            }
            staging.delete();
        } catch (InterruptedException | IOException stopped) {
            LOG.log(Level.WARNING, "the ledger closes with unwritten records: they stay in the staging area");
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the ledger's writer has failed; usage is counted as missed from now on", fault);
        } finally {
            closeQuietly();
        }
    }

    private void runOnce() throws InterruptedException {
        if (!failing) {
            takePages();
        }
        try {
            if (segment == null) {
                openSegment();
            }
            write();
            if (!unsyncedPages.isEmpty()
                    && (segment.size() - syncedSize >= options.syncBytes() || closing && staging.isDrained()
                            || System.nanoTime() - syncByNs >= 0)) {
                sync();
                if (segment.size() >= options.segmentBytes()) {
                    closeSegment(header.throughMs(), header.closings());
                }
            }
            if (failing) {
                failing = false;
                LOG.log(Level.INFO, "writing the ledger works again, in {0}", folder.segment(header.epoch(),
                        header.number()).getFileName());
            }
        } catch (IOException failure) {
            if (!failing) {
                failing = true;
                LOG.log(Level.WARNING, "the ledger cannot be written and waits: {0}", failure.toString());
            }
            abandonSegment();
            Thread.sleep(options.retryMs());
        }
    }

    /** Takes the pages that were handed over; waits for one until the next sync is due. */
    private void takePages() throws InterruptedException {
        StagingArea.Page next =
                staging.poll(closing ? 0 : unsyncedPages.isEmpty() ? TimeUnit.MILLISECONDS.toNanos(IDLE_MS)
                        : syncByNs - System.nanoTime());
        if (next != null && unsyncedPages.isEmpty()) {
            syncByNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.syncMs());
        }
        for (; next != null; next = staging.poll(0)) {
            unsyncedPages.add(next);
        }
    }

    private void write() throws IOException {
        while (pageIndex < unsyncedPages.size()) {
            ByteBuffer bytes = unsyncedPages.get(pageIndex).bytes;
            while (pageIndex < unsyncedPages.size() && bytes == unsyncedPages.get(pageIndex).bytes
                    && pageOffset < unsyncedPages.get(pageIndex).fill) {
                int frameOffset = pageOffset;
                segment.addFrame(bytes, frameOffset);
                pageOffset += FrameCodec.HEADER_BYTES + FrameCodec.length(bytes, frameOffset);
                int type = FrameCodec.type(bytes, frameOffset);
                writtenSeq = bytes.getLong(frameOffset + FrameCodec.HEADER_BYTES);
                latestMs = Math.max(latestMs, LogFormat.latestMs(type, bytes, frameOffset + FrameCodec.HEADER_BYTES));
                CrashPoint.reached("ledger.append");
                if (type == LogFormat.CLOSE) {
                    onClosing(bytes, frameOffset + FrameCodec.HEADER_BYTES);
                }
            }
            pageIndex++;
            pageOffset = 0;
        }
        segment.flush();
    }

    /**
     * Syncs after a closing, which is the last entry of its segment, so that the header of the next one contains it.
     */
    private void onClosing(ByteBuffer bytes, int payload) throws IOException {
        segment.force();
        syncedSeq = writtenSeq;
        syncedAt = pageOffset;
        for (; pageIndex > 0; pageIndex--) {
            staging.release(unsyncedPages.remove(0));
        }
        CrashPoint.reached("ledger.closed");
        closeSegment(LogFormat.throughMs(bytes, payload), LogFormat.number(bytes, payload));
        openSegment();
        afterClosing.run();
    }

    /** Syncs the segment and releases its pages. */
    private void sync() throws IOException {
        segment.force();
        syncedSeq = writtenSeq;
        unsyncedPages.forEach(staging::release);
        unsyncedPages.clear();
        pageIndex = 0;
        pageOffset = 0;
        syncedAt = 0;
        syncedSize = segment.size();
    }

    /** Closes the current segment; the next one is opened when it is needed. */
    private void closeSegment(long throughMs, long closings) throws IOException {
        SegmentWriter full = segment;
        segment = null;
        header = new LogHeader(header.folder(), header.instance(), header.epoch(), header.number() + 1,
                syncedSeq + 1, latestMs, throughMs, closings, header.periodMs(), header.classes());
        full.close();
    }

    private void openSegment() throws IOException {
        CrashPoint.reached("ledger.before-open");
        Path file = folder.segment(header.epoch(), header.number());
        SegmentWriter newSegment = new SegmentWriter(volume, file, LogFormat.MAGIC);
        try {
            newSegment.add(LogFormat.HEADER, format.write(header));
            newSegment.force();
        } catch (IOException failure) {
            // Prevents a leftover file for each attempt while the disk is full.
            runLoggingFailure(newSegment::close);
            runLoggingFailure(() -> volume.delete(file));
            throw failure;
        }
        segment = newSegment;
        syncedSize = segment.size();
        CrashPoint.reached("ledger.opened");
    }

    /** Abandons a segment after a failure; entries that were not synced go into the next one. */
    private void abandonSegment() {
        closeQuietly();
        segment = null;
        pageIndex = 0;
        pageOffset = syncedAt;
        header = new LogHeader(header.folder(), header.instance(), header.epoch(), header.number() + 1,
                syncedSeq + 1, latestMs, header.throughMs(), header.closings(), header.periodMs(), header.classes());
    }

    private void closeQuietly() {
        if (segment != null) {
            runLoggingFailure(segment::close);
        }
    }

    private interface CleanupStep {
        void run() throws IOException;
    }

    private static void runLoggingFailure(CleanupStep cleanup) {
        try {
            cleanup.run();
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "cannot close or delete an abandoned segment", failure);
        }
    }

    /**
     * Writes all pages that were handed over and stops the thread, after at most {@code timeoutMs} and a second more.
     */
    void close(long timeoutMs) {
        closing = true;
        try {
            thread.join(Math.max(1, timeoutMs));
            thread.interrupt();
            thread.join(IDLE_MS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
