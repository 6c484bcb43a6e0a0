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
 * The one thread that writes a ledger's log, from the pages of a {@link StagingArea}. Entries survive the end of the
 * process as soon as they are staged, and the loss of power after the next sync, which comes after so much time or
 * so many bytes, whichever is first. A page is held until it is synced: after a fault the thread opens a new
 * segment and writes it again; the reader knows by its sequence what it has had.
 */
final class LedgerWriter {

    /** How the log is written. */
    record Terms(long syncMs, int syncBytes, long segmentBytes, long retryMs) {}

    private static final System.Logger LOG = System.getLogger(LedgerWriter.class.getName());
    private static final long IDLE_MS = 1000;

    private final LedgerFolder folder;
    private final Volume volume;
    private final StagingArea stage;
    private final Terms terms;
    private final LogFormat format = new LogFormat();
    /** Pages that are not synced, or only up to {@code syncedAt} in the first one. */
    private final List<StagingArea.Page> pages = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "ledger");
    private LogHeader header;
    private SegmentWriter segment;
    private Runnable afterClosing;
    private int syncedAt;
    /** What of the pages stands in the present segment: all before this place in this page. */
    private int page;
    private int at;
    private long syncedSize;
    private long syncByNs;
    /** No entry that was written is dated later. */
    private long latestMs;
    private long writtenSeq;
    private long syncedSeq;
    private volatile boolean failing;
    private volatile boolean closing;

    /** {@code header} is that of the first segment. */
    LedgerWriter(LedgerFolder folder, Volume volume, StagingArea stage, LogHeader header, Terms terms) {
        this.folder = folder;
        this.volume = volume;
        this.stage = stage;
        this.header = header;
        this.terms = terms;
        this.latestMs = header.openedMs();
        this.syncedSeq = header.firstSeq() - 1;
        thread.setDaemon(true);
    }

    /**
     * Opens the first segment, so that a folder that cannot be written to shows before anything is served. {@code
     * closed} is run on this thread after each closing.
     */
    void start(Runnable closed) throws IOException {
        afterClosing = closed;
        open();
        thread.start();
    }

    /** Whether the disk refuses to take what there is. */
    boolean failing() {
        return failing;
    }

    private void run() {
        try {
            while (!closing || !stage.isTaken() || !pages.isEmpty()) {
                turn();
            }
            stage.remove();
        } catch (InterruptedException | IOException stopped) {
            LOG.log(Level.WARNING, "the ledger ends with records that are not written: they stay staged");
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the ledger's writer has ended; use is counted as missed from now on", fault);
        } finally {
            closeQuietly();
        }
    }

    private void turn() throws InterruptedException {
        if (!failing) {
            gather();
        }
        try {
            if (segment == null) {
                open();
            }
            write();
            if (!pages.isEmpty() && (segment.size() - syncedSize >= terms.syncBytes() || closing && stage.isTaken()
                    || System.nanoTime() - syncByNs >= 0)) {
                sync();
                if (segment.size() >= terms.segmentBytes()) {
                    rotate(header.throughMs(), header.closings());
                }
            }
            if (failing) {
                failing = false;
                LOG.log(Level.INFO, "the ledger is written again, in {0}", folder.segment(header.epoch(),
                        header.number()).getFileName());
            }
        } catch (IOException failure) {
            if (!failing) {
                failing = true;
                LOG.log(Level.WARNING, "the ledger cannot be written and waits: {0}", failure.toString());
            }
            abandon();
            Thread.sleep(terms.retryMs());
        }
    }

    /** Takes what is handed over; waits for that, no longer than until the next sync is due. */
    private void gather() throws InterruptedException {
        StagingArea.Page next = stage.take(closing ? 0 : pages.isEmpty() ? TimeUnit.MILLISECONDS.toNanos(IDLE_MS)
                : syncByNs - System.nanoTime());
        if (next != null && pages.isEmpty()) {
            syncByNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(terms.syncMs());
        }
        for (; next != null; next = stage.take(0)) {
            pages.add(next);
        }
    }

    private void write() throws IOException {
        while (page < pages.size()) {
            ByteBuffer bytes = pages.get(page).bytes;
            while (page < pages.size() && bytes == pages.get(page).bytes && at < pages.get(page).fill) {
                int frame = at;
                segment.addFrame(bytes, frame);
                at += FrameCodec.HEADER_BYTES + FrameCodec.length(bytes, frame);
                int type = FrameCodec.type(bytes, frame);
                writtenSeq = bytes.getLong(frame + FrameCodec.HEADER_BYTES);
                latestMs = Math.max(latestMs, LogFormat.latestMs(type, bytes, frame + FrameCodec.HEADER_BYTES));
                CrashPoint.reached("ledger.append");
                if (type == LogFormat.CLOSE) {
                    closed(bytes, frame + FrameCodec.HEADER_BYTES);
                }
            }
            page++;
            at = 0;
        }
        segment.flush();
    }

    /** A closing is the last entry of its segment, so that the next header tells of it. */
    private void closed(ByteBuffer bytes, int payload) throws IOException {
        segment.force();
        syncedSeq = writtenSeq;
        syncedAt = at;
        for (; page > 0; page--) {
            stage.giveBack(pages.remove(0));
        }
        CrashPoint.reached("ledger.closed");
        rotate(LogFormat.throughMs(bytes, payload), LogFormat.number(bytes, payload));
        open();
        afterClosing.run();
    }

    /** Makes all that is written last, and gives its pages back. */
    private void sync() throws IOException {
        segment.force();
        syncedSeq = writtenSeq;
        pages.forEach(stage::giveBack);
        pages.clear();
        page = 0;
        at = 0;
        syncedAt = 0;
        syncedSize = segment.size();
    }

    /** Ends the present segment; the next one is opened when there is something for it. */
    private void rotate(long throughMs, long closings) throws IOException {
        SegmentWriter full = segment;
        segment = null;
        header = new LogHeader(header.folder(), header.instance(), header.epoch(), header.number() + 1,
                syncedSeq + 1, latestMs, throughMs, closings, header.periodMs(), header.classes());
        full.close();
    }

    private void open() throws IOException {
        CrashPoint.reached("ledger.before-open");
        Path file = folder.segment(header.epoch(), header.number());
        SegmentWriter fresh = new SegmentWriter(volume, file, LogFormat.MAGIC);
        try {
            fresh.add(LogFormat.HEADER, format.write(header));
            fresh.force();
        } catch (IOException failure) {
            // Guards against a file for each try while the disk is full.
            quietly(fresh::close);
            quietly(() -> volume.delete(file));
            throw failure;
        }
        segment = fresh;
        syncedSize = segment.size();
        CrashPoint.reached("ledger.opened");
    }

    /** Leaves a segment in which something went wrong; what was not synced goes into the next one. */
    private void abandon() {
        closeQuietly();
        segment = null;
        page = 0;
        at = syncedAt;
        header = new LogHeader(header.folder(), header.instance(), header.epoch(), header.number() + 1,
                syncedSeq + 1, latestMs, header.throughMs(), header.closings(), header.periodMs(), header.classes());
    }

    private void closeQuietly() {
        if (segment != null) {
            quietly(segment::close);
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void quietly(Step step) {
        try {
            step.run();
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "giving up a segment failed", failure);
        }
    }

    /** Writes what was handed over; waits for that, or for as long as the disk may take. */
    void close(long mostMs) {
        closing = true;
        try {
            thread.join(Math.max(1, mostMs));
            thread.interrupt();
            thread.join(IDLE_MS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
