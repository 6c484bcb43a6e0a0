package clovermill.ledger.books;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Totals;
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
 * The books of one folder: the totals of open periods, the batches that closings froze, and which of these were
 * acknowledged. What was read of the log and what it came to are committed together. A frozen batch is never
 * written a second time.
 */
public final class TotalsStore implements AutoCloseable {

    /** A batch without its rows; {@code acknowledged} is the digest it was delivered under, or null. */
    public record BatchInfo(long number, long epoch, long fromMs, long throughMs, long atMs, String acknowledged) {}

    private static final long ENTRIES_A_COMMIT = 2_000_000;
    private static final char CUT = '|';

    private final LedgerFolder folder;
    private final Path file;
    private final FolderLock lock;
    private final MVStore store;
    private final MVMap<String, Long> meta;
    private final MVMap<String, long[]> open;
    private final MVMap<String, long[]> corrections;
    private final MVMap<Long, Long> lastSeq;
    /** Epoch, first and last sequence of what was passed over, by their place in the order. */
    private final MVMap<Long, long[]> holes;
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
        } catch (MVStoreException bad) {
            throw new IOException(file + " cannot be used (" + bad.getMessage().lines().findFirst().orElse("")
                    + "); `ledger rebuild` makes it again from the log", bad);
        }
        meta = store.openMap("meta");
        open = store.openMap("open");
        corrections = store.openMap("corrections");
        lastSeq = store.openMap("lastSeq");
        holes = store.openMap("holes");
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

    /** What came of making books again: the digests of the batches before (null if unreadable) and after. */
    public record Rebuilt(String before, String after, long entries) {}

    /** Makes a folder's books again from the checkpoint, if there is one, and the log; keeps what was acknowledged. */
    public static Rebuilt rebuild(LedgerFolder folder, LongConsumer progress) throws IOException {
        folder.identity();
        return FolderLock.withLock(folder.totalsLock(), () -> {
            Path fresh = folder.path().resolve("books.mv.new");
            Files.deleteIfExists(fresh);
            if (Files.exists(folder.checkpoint())) {
                Files.copy(folder.checkpoint(), fresh);
            }
            String before = null;
            Map<Long, String> known = new HashMap<>();
            try (TotalsStore old = new TotalsStore(folder, folder.totals(), null)) {
                // To the same point of the log, as far as the old ones go on; what they cannot read is not counted.
                old.update(entries -> {});
                before = old.digest();
                known.putAll(old.acknowledged);
            } catch (IOException | RuntimeException unreadable) {
                before = null;
            }
            Rebuilt result;
            try (TotalsStore made = new TotalsStore(folder, fresh, null)) {
                made.update(progress);
                known.forEach(made.acknowledged::putIfAbsent);
                made.store.commit();
                result = new Rebuilt(before, made.digest(), made.aggregator.entries());
            }
            CrashPoint.reached("rebuild.before-rename");
            Files.move(fresh, folder.totals(), StandardCopyOption.ATOMIC_MOVE);
            CrashPoint.reached("rebuild.after-rename");
            return result;
        });
    }

    private void load() {
        Map<TotalsAggregator.Key, Totals> openNow = new HashMap<>();
        open.forEach((key, sums) -> openNow.put(key(key), new Totals(sums.clone())));
        Map<TotalsAggregator.Key, Totals> correctionsNow = new HashMap<>();
        corrections.forEach((key, sums) -> correctionsNow.put(key(key), new Totals(sums.clone())));
        List<TotalsAggregator.MissingRange> holesNow = new ArrayList<>();
        holes.values().forEach(each -> holesNow.add(new TotalsAggregator.MissingRange(each[0], each[1], each[2])));
        aggregator = new TotalsAggregator(this::freeze,
                new TotalsAggregator.State(openNow, correctionsNow, new HashMap<>(lastSeq),
                        holesNow, meta.getOrDefault("through", Long.MIN_VALUE), meta.getOrDefault("closings", 0L),
                        meta.getOrDefault("entries", 0L), meta.getOrDefault("missing", 0L),
                        meta.getOrDefault("repeated", 0L),
                        meta.getOrDefault("last", Long.MIN_VALUE)));
        position = new LogReader.Position(meta.getOrDefault("epoch", 0L),
                (int) (long) meta.getOrDefault("number", 0L), meta.getOrDefault("offset", 0L));
        damagedBytes = meta.getOrDefault("damaged", 0L);
    }

    /** Takes over what the log has since got; {@code progress} hears how many entries were read. */
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
            if (read[0] - read[1] >= ENTRIES_A_COMMIT) {
                read[1] = read[0];
                save();
            }
        }
        progress.accept(read[0]);
        save();
    }

    private void freeze(TotalsAggregator.Batch batch) {
        // A batch that stands already is the same one, read again after a crash between two commits of another.
        if (batches.putIfAbsent(batch.number(), new long[] {batch.epoch(), batch.fromMs(), batch.throughMs(),
            batch.atMs()}) == null) {
            batch.totals().forEach((key, totals) -> rows.put(row(batch.number(), 't', key), totals.toArray()));
            batch.corrections().forEach((key, totals) -> rows.put(row(batch.number(), 'c', key), totals.toArray()));
        }
    }

    /** Commits the state together with the place in the log that it belongs to. */
    private void save() {
        replace(open, aggregator.open());
        replace(corrections, aggregator.corrections());
        aggregator.lastSeq().forEach(lastSeq::put);
        saveHoles();
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

    private void saveHoles() {
        holes.clear();
        long place = 0;
        for (TotalsAggregator.MissingRange hole : aggregator.missingRanges()) {
            holes.put(place++, new long[] {hole.epoch(), hole.from(), hole.to()});
        }
    }

    private static void replace(MVMap<String, long[]> map, Map<TotalsAggregator.Key, Totals> with) {
        map.clear();
        with.forEach((key, totals) -> map.put(text(key), totals.toArray()));
    }

    /** The batches in their order. */
    public TreeMap<Long, BatchInfo> batches() {
        TreeMap<Long, BatchInfo> result = new TreeMap<>();
        batches.forEach((number, told) -> result.put(number, new BatchInfo(number, told[0], told[1], told[2], told[3],
                acknowledged.get(number))));
        return result;
    }

    /** What a closing froze. */
    public TotalsAggregator.Batch batch(long number) {
        long[] told = batches.get(number);
        TreeMap<TotalsAggregator.Key, Totals> totals = new TreeMap<>();
        TreeMap<TotalsAggregator.Key, Totals> corrected = new TreeMap<>();
        String prefix = String.format("%016x", number);
        for (var each = rows.keyIterator(prefix); each.hasNext();) {
            String key = each.next();
            if (!key.startsWith(prefix)) {
                break;
            }
            (key.charAt(prefix.length()) == 't' ? totals : corrected).put(key(key.substring(prefix.length() + 1)),
                    new Totals(rows.get(key).clone()));
        }
        return new TotalsAggregator.Batch(number, told[0], told[1], told[2], told[3], totals, corrected);
    }

    /** Notes that a batch was delivered under this digest; lasts when this returns. */
    public void acknowledge(long number, String digest) {
        acknowledged.put(number, digest);
        store.commit();
        store.sync();
    }

    /** The accounts as of the last update. */
    public TotalsAggregator accounts() {
        return aggregator;
    }

    /** Up to where the log has been taken over. */
    public LogReader.Position position() {
        return position;
    }

    /** Bytes of the log that could not be read. */
    public long damagedBytes() {
        return damagedBytes;
    }

    /** A digest of all that closings froze and of what is open: equal for equal totals, to the bit. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            new TreeMap<>(rows).forEach((key, sums) -> digest(sha, key, sums));
            new TreeMap<>(aggregator.open()).forEach((key, totals) -> digest(sha, text(key), totals.toArray()));
            new TreeMap<>(aggregator.corrections()).forEach((key, totals) -> digest(sha, text(key), totals.toArray()));
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void digest(MessageDigest sha, String key, long[] sums) {
        sha.update(key.getBytes(StandardCharsets.UTF_8));
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * sums.length);
        bytes.asLongBuffer().put(sums);
        sha.update(bytes);
    }

    /**
     * Copies the books as they are to the checkpoint, from which they can be made again without the segments that
     * they have taken over. Closes them.
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
        return String.format("%016x", key.period().startMs()) + CUT + key.period().lengthMs() + CUT + key.tenant();
    }

    private static TotalsAggregator.Key key(String text) {
        int first = text.indexOf(CUT);
        int second = text.indexOf(CUT, first + 1);
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
