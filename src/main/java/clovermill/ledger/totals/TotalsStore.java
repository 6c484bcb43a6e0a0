package clovermill.ledger.totals;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.storage.CrashPoint;
import clovermill.storage.FolderLock;
import clovermill.storage.Volume;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * The totals store of one folder: the totals of open periods, the batches that period closings froze, and which of
 * these were acknowledged. The position in the log and the totals up to it are committed together. A frozen batch is
 * never written a second time.
 */
public final class TotalsStore implements AutoCloseable {

    /** A batch without its rows; {@code acknowledged} is the digest under which it was delivered, or null. */
    public record BatchInfo(long number, long epoch, long fromMs, long throughMs, long atMs, String acknowledged) {}

    private static final long ENTRIES_PER_COMMIT = 2_000_000;
    private static final char SEPARATOR = '|';

    private final LedgerFolder folder;
    private final Path file;
    private final FolderLock lock;
    private final MVStore store;
    private final MVMap<String, Long> meta;
    private final MVMap<String, long[]> open;
    private final MVMap<String, long[]> corrections;
    private final MVMap<Long, Long> lastSeq;
    /** Epoch, first and last sequence number of each missing range, by the index of the range. */
    private final MVMap<Long, long[]> missingRanges;
    private final MVMap<Long, long[]> batches;
    private final MVMap<String, long[]> rows;
    private final MVMap<Long, String> acknowledged;
    private TotalsAggregator aggregator;
    private LogReader.Position position;
    private long damagedBytes;

    private TotalsStore(LedgerFolder folder, Path file, FolderLock lock) throws IOException {
        this.folder = folder;
        this.file = file;
        this.lock = lock;
        try {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        } catch (MVStoreException failure) {
            throw new IOException(file + " cannot be used (" + failure.getMessage().lines().findFirst().orElse("")
                    + "); `ledger rebuild` recreates it from the log", failure);
        }
        meta = store.openMap("meta");
        open = store.openMap("open");
        corrections = store.openMap("corrections");
        lastSeq = store.openMap("lastSeq");
        missingRanges = store.openMap("holes");
        batches = store.openMap("batches");
        rows = store.openMap("rows");
        acknowledged = store.openMap("acknowledged");
        load();
    }

    /**
     * Opens the totals store of a folder; throws {@link FolderLock.AlreadyLockedException} if another process uses
     * it.
     */
    public static TotalsStore open(LedgerFolder folder) throws IOException {
        folder.identity();
        FolderLock lock = FolderLock.acquire(folder.totalsLock());
        try {
            return new TotalsStore(folder, folder.totals(), lock);
        } catch (IOException | RuntimeException failure) {
            lock.close();
            throw failure;
        }
    }

    /** The result of a rebuild: the digests of the totals before (null if unreadable) and after. */
    public record Rebuilt(String before, String after, long entries) {}

    /**
     * Rebuilds the totals store of a folder from the checkpoint, if there is one, and the log; keeps the
     * acknowledgements.
     */
    public static Rebuilt rebuild(LedgerFolder folder, LongConsumer progress) throws IOException {
        folder.identity();
        return FolderLock.withLock(folder.totalsLock(), () -> {
            Path newFile = folder.path().resolve("books.mv.new");
            Files.deleteIfExists(newFile);
            if (Files.exists(folder.checkpoint())) {
                Files.copy(folder.checkpoint(), newFile);
            }
            String before = null;
            Map<Long, String> acknowledgements = new HashMap<>();
            try (TotalsStore old = new TotalsStore(folder, folder.totals(), null)) {
                // Updates the old store to the same position of the log. Whatever cannot be read is not compared.
                old.update(entries -> {});
                before = old.digest();
                acknowledgements.putAll(old.acknowledged);
            } catch (IOException | RuntimeException unreadable) {
                before = null;
            }
            Rebuilt result;
            try (TotalsStore rebuilt = new TotalsStore(folder, newFile, null)) {
                rebuilt.update(progress);
                acknowledgements.forEach(rebuilt.acknowledged::putIfAbsent);
                rebuilt.store.commit();
                result = new Rebuilt(before, rebuilt.digest(), rebuilt.aggregator.entries());
            }
            CrashPoint.reached("rebuild.before-rename");
            Files.move(newFile, folder.totals(), StandardCopyOption.ATOMIC_MOVE);
            CrashPoint.reached("rebuild.after-rename");
            return result;
        });
    }

    private void load() {
        Map<TotalsAggregator.Key, Totals> openNow = new HashMap<>();
        open.forEach((key, values) -> openNow.put(key(key), new Totals(values.clone())));
        Map<TotalsAggregator.Key, Totals> correctionsNow = new HashMap<>();
        corrections.forEach((key, values) -> correctionsNow.put(key(key), new Totals(values.clone())));
        List<TotalsAggregator.MissingRange> missingRangesNow = new ArrayList<>();
        missingRanges.values()
                .forEach(each -> missingRangesNow.add(new TotalsAggregator.MissingRange(each[0], each[1], each[2])));
        aggregator = new TotalsAggregator(this::addBatch,
                new TotalsAggregator.State(openNow, correctionsNow, new HashMap<>(lastSeq),
                        missingRangesNow, meta.getOrDefault("through", Long.MIN_VALUE),
                        meta.getOrDefault("closings", 0L),
                        meta.getOrDefault("entries", 0L), meta.getOrDefault("missing", 0L),
                        meta.getOrDefault("repeated", 0L), meta.getOrDefault("last", Long.MIN_VALUE)));
        position = new LogReader.Position(meta.getOrDefault("epoch", 0L),
                (int) (long) meta.getOrDefault("number", 0L), meta.getOrDefault("offset", 0L));
        damagedBytes = meta.getOrDefault("damaged", 0L);
    }

    /** Reads new entries of the log; {@code progress} receives the number of entries read. */
    public void update(LongConsumer progress) throws IOException {
        long[] read = {0, 0};
        LogReader reader = new LogReader(folder);
        LogReader.Visitor visitor = new LogReader.Visitor() {
            @Override
            public void segment(Path segment, LogHeader header) {
                aggregator.beginEpoch(header.epoch(), header.throughMs(), header.closings());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                aggregator.apply(header.epoch(), header.periodMs(), entry);
                if (++read[0] % 100_000 == 0) {
                    progress.accept(read[0]);
                }
            }

            @Override
            public void damaged(Path segment, long from, long to) {
                damagedBytes += to - from;
            }
        };
        LogReader.Position start = position;
        for (LedgerFolder.Segment segment : folder.segments()) {
            if (start.isAfter(segment)) {
                continue;
            }
            position = reader.read(segment, start.isIn(segment) ? start.offset() : 0, visitor);
            if (read[0] - read[1] >= ENTRIES_PER_COMMIT) {
                read[1] = read[0];
                save();
            }
        }
        progress.accept(read[0]);
        save();
    }

    private void addBatch(TotalsAggregator.Batch batch) {
        // An existing batch is the same one, read again after a crash between two commits of an update.
        if (batches.putIfAbsent(batch.number(), new long[] {batch.epoch(), batch.fromMs(), batch.throughMs(),
            batch.atMs()}) == null) {
            batch.totals().forEach((key, totals) -> rows.put(row(batch.number(), 't', key), totals.toArray()));
            batch.corrections().forEach((key, totals) -> rows.put(row(batch.number(), 'c', key), totals.toArray()));
        }
    }

    /** Commits the totals together with the corresponding position in the log. */
    private void save() {
        replace(open, aggregator.open());
        replace(corrections, aggregator.corrections());
        aggregator.lastSeq().forEach(lastSeq::put);
        saveMissingRanges();
        meta.put("through", aggregator.throughMs());
        meta.put("closings", aggregator.closings());
        meta.put("entries", aggregator.entries());
        meta.put("missing", aggregator.missing());
        meta.put("repeated", aggregator.repeated());
        meta.put("last", aggregator.lastMs());
        meta.put("epoch", position.epoch());
        meta.put("number", (long) position.number());
        meta.put("offset", position.offset());
        meta.put("damaged", damagedBytes);
        CrashPoint.reached("books.before-commit");
        store.commit();
        CrashPoint.reached("books.after-commit");
    }

    private void saveMissingRanges() {
        missingRanges.clear();
        long index = 0;
        for (TotalsAggregator.MissingRange range : aggregator.missingRanges()) {
            missingRanges.put(index++, new long[] {range.epoch(), range.from(), range.to()});
        }
    }

    private static void replace(MVMap<String, long[]> map, Map<TotalsAggregator.Key, Totals> newTotals) {
        map.clear();
        newTotals.forEach((key, totals) -> map.put(text(key), totals.toArray()));
    }

    /** Returns the batches in order. */
    public TreeMap<Long, BatchInfo> batches() {
        TreeMap<Long, BatchInfo> result = new TreeMap<>();
        batches.forEach((number, info) -> result.put(number, new BatchInfo(number, info[0], info[1], info[2], info[3],
                acknowledged.get(number))));
        return result;
    }

    /** Returns a batch with its rows. */
    public TotalsAggregator.Batch batch(long number) {
        long[] info = batches.get(number);
        TreeMap<TotalsAggregator.Key, Totals> totals = new TreeMap<>();
        TreeMap<TotalsAggregator.Key, Totals> correctionTotals = new TreeMap<>();
        String prefix = String.format("%016x", number);
        for (var each = rows.keyIterator(prefix); each.hasNext();) {
            String key = each.next();
            if (!key.startsWith(prefix)) {
                break;
            }
            (key.charAt(prefix.length()) == 't' ? totals : correctionTotals).put(
                    key(key.substring(prefix.length() + 1)),
                    new Totals(rows.get(key).clone()));
        }
        return new TotalsAggregator.Batch(number, info[0], info[1], info[2], info[3], totals, correctionTotals);
    }

    /** Records that a batch was delivered under this digest; durable when this returns. */
    public void acknowledge(long number, String digest) {
        acknowledged.put(number, digest);
        store.commit();
        store.sync();
    }

    /** Returns the aggregator as of the last update. */
    public TotalsAggregator aggregator() {
        return aggregator;
    }

    /** Returns the position up to which the log was read. */
    public LogReader.Position position() {
        return position;
    }

    /** Returns the number of bytes of the log that could not be read. */
    public long damagedBytes() {
        return damagedBytes;
    }

    /** Returns a digest of all batches and of the open totals; equal totals have equal digests. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            new TreeMap<>(rows).forEach((key, values) -> digest(sha, key, values));
            new TreeMap<>(aggregator.open()).forEach((key, totals) -> digest(sha, text(key), totals.toArray()));
            new TreeMap<>(aggregator.corrections()).forEach((key, totals) -> digest(sha, text(key), totals.toArray()));
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void digest(MessageDigest sha, String key, long[] values) {
        sha.update(key.getBytes(StandardCharsets.UTF_8));
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * values.length);
        bytes.asLongBuffer().put(values);
        sha.update(bytes);
    }

    /**
     * Copies the store to the checkpoint, from which it can be rebuilt without the segments that were read so far.
     * Closes the store.
     */
    public void checkpoint(Volume volume) throws IOException {
        store.close();
        volume.replace(folder.checkpoint(), Files.readAllBytes(file));
        close();
    }

    private static String row(long number, char kind, TotalsAggregator.Key key) {
        return String.format("%016x", number) + kind + text(key);
    }

    private static String text(TotalsAggregator.Key key) {
        return String.format("%016x", key.period().startMs()) + SEPARATOR + key.period().lengthMs() + SEPARATOR
                + key.tenant();
    }

    private static TotalsAggregator.Key key(String text) {
        int first = text.indexOf(SEPARATOR);
        int second = text.indexOf(SEPARATOR, first + 1);
        return new TotalsAggregator.Key(new Period(Long.parseUnsignedLong(text.substring(0, first), 16),
                Long.parseLong(text.substring(first + 1, second))), text.substring(second + 1));
    }

    @Override
    public void close() throws IOException {
        store.close();
        if (lock != null) {
            lock.close();
        }
    }
}
