package clovermill.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.export.Exporter;
import clovermill.ledger.totals.Compactor;
import clovermill.ledger.totals.Reconciler;
import clovermill.ledger.totals.TotalsStore;
import clovermill.ledger.totals.Verification;
import clovermill.routing.api.CacheStatus;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.storage.FaultyVolume;
import clovermill.storage.FolderLock;
import clovermill.storage.Volume;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The ledger on a faulty disk, over restarts, period closings and exports; the test controls the clocks. */
class LedgerTest {

    private static final long HOUR = 3_600_000;
    /**
     * The number of writer operations before which a kill is simulated; each attempt to write again takes about ten.
     */
    private static final int KILL_STEPS = 60;
    private static final Ledger.Director DIRECTOR = new Ledger.Director("n1", List.of("page", "order"), 1, 2, 4);

    @TempDir
    private Path folder;
    private final FaultyVolume disk = new FaultyVolume();
    private Deadlines deadlines = new Deadlines();
    private long monoMs = 1000 * HOUR + 1_000_000;
    private long wallMs = monoMs;
    private int requestCount;

    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return monoMs * 1000;
        }

        @Override
        public long unixMillis() {
            return wallMs;
        }
    };

    private LedgerSettings settings(int queueKb, List<String> rejectWhenFull) {
        return settings(queueKb, rejectWhenFull, 20_000L);
    }

    private LedgerSettings settings(int queueKb, List<String> rejectWhenFull, long leaveMs) {
        return new LedgerSettings(folder.resolve("l").toString(), null, null, null, queueKb, folder.toString(), 0L,
                0L, null, 1, 1L, leaveMs, null, "a",
                List.of(new LedgerSettings.Tenant("b", "order", null)), rejectWhenFull, null, null, null, null);
    }

    private Ledger open() throws IOException {
        return open(settings(256, List.of()));
    }

    private Ledger open(LedgerSettings settings) throws IOException {
        deadlines = new Deadlines();
        return Ledger.open(settings, DIRECTOR, clock, deadlines, Runnable::run, disk);
    }

    private void advance(long ms) {
        monoMs += ms;
        wallMs += ms;
        // The tick and the handovers are up to three deadlines, one after another.
        for (int i = 0; i < 3; i++) {
            deadlines.sweep(monoMs * 1000);
        }
    }

    private ClientRequest request(int requestClass) {
        return new ClientRequest(String.format("%016x", ++requestCount), requestClass, "page", "7f3a9c21e0b4d655", 0, 0,
                1,
                1_000_000,
                false, null, null, new byte[0]);
    }

    private void use(Ledger ledger, int requestClass, int bytes, long takenMs) {
        ledger.requestEnded(
                new UsageRecord(request(requestClass), true, takenMs * 1000, monoMs * 1000, UsageRecord.End.SERVED, 1,
                        "s-1", null,
                        CacheStatus.HIT, bytes, bytes));
    }

    private void use(Ledger ledger, int bytes) {
        use(ledger, 0, bytes, monoMs);
    }

    private LedgerFolder ledgerFolder() {
        return new LedgerFolder(folder.resolve("l"));
    }

    private Totals sum() throws IOException {
        return sum(ledgerFolder());
    }

    private Totals sum(LedgerFolder read) throws IOException {
        Totals sum = new Totals();
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {
            batch.totals().values().forEach(sum::add);
            batch.corrections().values().forEach(sum::add);
        });
        new LogReader(read).read(LogReader.Position.START,
                (header, entry) -> aggregator.apply(header.epoch(), header.periodMs(), entry));
        aggregator.open().values().forEach(sum::add);
        aggregator.corrections().values().forEach(sum::add);
        assertThat(aggregator.missing()).isZero();
        return sum;
    }

    /** A condition on the writer, which has its own thread; the test fails by its time limit if it is never met. */
    private interface Condition {
        boolean isMet();
    }

    private static void awaitCondition(Condition condition) {
        while (!condition.isMet()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void usageBeyondAFullQueueIsCountedExactlyInGaps() throws Exception {
        Ledger ledger = open(settings(16, List.of()));
        disk.freeBytes = 0;
        for (int i = 0; i < 3000; i++) {
            use(ledger, 10);
        }
        disk.freeBytes = Long.MAX_VALUE;
        for (int i = 0; i < 30; i++) {
            advance(1000);
        }
        use(ledger, 1);
        ledger.close();
        Totals sum = sum();
        assertThat(sum.get(Totals.Sum.REQUESTS)).isEqualTo(3001);
        assertThat(sum.get(Totals.Sum.BYTES)).isEqualTo(30_001);
        assertThat(sum.get(Totals.Sum.MISSED_REQUESTS)).isPositive();
    }

    /** A director that closes while the disk and the queue are full logs the usage that is recorded nowhere. */
    @Test
    void closeLogsUsageThatCannotBeRecorded() throws Exception {
        List<LogRecord> logged = new ArrayList<>();
        Handler handler = new StreamHandler() {
            @Override
            public synchronized void publish(LogRecord line) {
                logged.add(line);
            }
        };
        Logger log = Logger.getLogger(Ledger.class.getName());
        log.addHandler(handler);
        try {
            Ledger ledger = open(settings(16, List.of(), 50));
            disk.freeBytes = 0;
            for (int i = 0; i < 3000; i++) {
                use(ledger, 10);
            }
            ledger.close();
        } finally {
            log.removeHandler(handler);
        }
        disk.freeBytes = Long.MAX_VALUE;
        open().close();
        long kept = sum().get(Totals.Sum.REQUESTS);
        assertThat(kept).isBetween(100L, 2999L);
        assertThat(logged).filteredOn(line -> line.getMessage().contains("are not recorded anywhere")).hasSize(1)
                .allSatisfy(line -> assertThat(line.getParameters()).containsExactly(Long.toString(3000 - kept),
                        Long.toString(10 * (3000 - kept))));
    }

    /**
     * A write that stops short leaves part of a record; everything is written again after it, and nothing counts
     * twice.
     */
    @Test
    void diskFullWithinARecordLosesNothing() throws Exception {
        Ledger ledger = open();
        for (int round = 0; round < 5; round++) {
            disk.freeBytes = 200 + 37L * round;
            for (int i = 0; i < 50; i++) {
                use(ledger, 10);
            }
            advance(5);
            awaitCondition(() -> disk.freeBytes < 100);
            disk.freeBytes = Long.MAX_VALUE;
        }
        ledger.close();
        assertThat(sum().get(Totals.Sum.BYTES)).isEqualTo(2500);
    }

    @Test
    void failedSyncIsFollowedByWritingUnsyncedEntriesAgain() throws Exception {
        Ledger ledger = open();
        disk.failSyncs = true;
        for (int i = 0; i < 100; i++) {
            use(ledger, 10);
        }
        advance(5);
        int before = disk.syncs;
        disk.failSyncs = false;
        awaitCondition(() -> disk.syncs > before);
        ledger.close();
        assertThat(sum().get(Totals.Sum.BYTES)).isEqualTo(1000);
    }

    /**
     * Makes the writer write more than a block of records between two syncs, the second of which fails and loses a
     * page.
     */
    private void loseAPageInASync(Ledger ledger) {
        disk.freeBytes = 100;
        for (int i = 0; i < 2000; i++) {
            use(ledger, 10);
        }
        awaitCondition(() -> disk.freeBytes == 0);
        disk.loseAfterUnsyncedBytes = 40_000;
        disk.freeBytes = Long.MAX_VALUE;
        awaitCondition(() -> disk.loseAfterUnsyncedBytes == Long.MAX_VALUE);
    }

    /** Records after a page that a failed sync lost must not hide the records that are written again. */
    @Test
    void pageLostByAFailedSyncIsWrittenAgainAndCounted() throws Exception {
        Ledger ledger = open();
        loseAPageInASync(ledger);
        ledger.close();
        assertThat(sum().get(Totals.Sum.BYTES)).isEqualTo(20_000);
        try (TotalsStore store = TotalsStore.open(ledgerFolder())) {
            store.update(read -> {});
            assertThat(store.aggregator().missing()).isZero();
        }
    }

    /** The next start must not trust a segment up to its last record across the page that a failed sync lost. */
    @Test
    void killAfterAFailedSyncLostAPageLosesNothing() throws Exception {
        Ledger ledger = open();
        disk.failSyncsAfterLoss = true;
        loseAPageInASync(ledger);
        Path stagingFile = folder.resolve("clovermill-" + ledgerFolder().identity().folder() + ".stage");
        Path killed = folder.resolve("killed");
        disk.runExclusively(() -> { // the writer continues to create and delete segments
            copy(folder.resolve("l"), killed);
            Files.copy(stagingFile, folder.resolve("kept"));
        });
        disk.failSyncs = false;
        ledger.close();
        LedgerFolder after = new LedgerFolder(killed);
        Files.copy(folder.resolve("kept"), stagingFile);
        StagingRecovery.run(after, after.identity(), stagingFile, disk);
        assertThat(sum(after).get(Totals.Sum.BYTES)).isEqualTo(20_000);
    }

    /**
     * Simulates a kill before each of the operations with which the writer tries to write again after a failed sync.
     */
    @Test
    void killAtAnyStepAfterAFailedSyncLosesNothing() throws Exception {
        Ledger ledger = open();
        disk.failSyncsAfterLoss = true;
        Path stagingFile = folder.resolve("clovermill-" + ledgerFolder().identity().folder() + ".stage");
        AtomicInteger steps = new AtomicInteger();
        disk.beforeOperation = () -> {
            if (disk.loseAfterUnsyncedBytes == Long.MAX_VALUE && disk.failSyncs && steps.get() < KILL_STEPS) {
                copyAsKilled(stagingFile, steps.get());
                steps.incrementAndGet();
            }
        };
        loseAPageInASync(ledger);
        awaitCondition(() -> steps.get() == KILL_STEPS);
        disk.beforeOperation = () -> {};
        disk.failSyncs = false;
        ledger.close();
        for (int step = 0; step < KILL_STEPS; step++) {
            LedgerFolder after = new LedgerFolder(folder.resolve("killed" + step));
            Files.copy(folder.resolve("kept" + step), stagingFile, StandardCopyOption.REPLACE_EXISTING);
            StagingRecovery.run(after, after.identity(), stagingFile, disk);
            assertThat(sum(after).get(Totals.Sum.BYTES)).as("step %s", step).isEqualTo(20_000);
        }
    }

    private void copyAsKilled(Path stagingFile, int step) {
        try {
            copy(folder.resolve("l"), folder.resolve("killed" + step));
            Files.copy(stagingFile, folder.resolve("kept" + step));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * A start that cannot write the staged entries keeps the staging file and leaves no segment that the next start
     * trusts.
     */
    @Test
    void recoveryThatFailsIsRepeatedByTheNextStart() throws Exception {
        Ledger ledger = open();
        for (int i = 0; i < 30; i++) {
            use(ledger, 10);
        }
        Path stagingFile = folder.resolve("clovermill-" + ledgerFolder().identity().folder() + ".stage");
        Path killed = folder.resolve("killed");
        copy(folder.resolve("l"), killed);
        Files.copy(stagingFile, folder.resolve("kept"));
        ledger.close();
        Files.copy(folder.resolve("kept"), stagingFile);
        LedgerFolder after = new LedgerFolder(killed);
        int segments = after.segments().size();
        disk.failSyncs = true;
        assertThatThrownBy(() -> StagingRecovery.run(after, after.identity(), stagingFile, disk))
                .hasMessage("Input/output error");
        assertThat(stagingFile).exists();
        assertThat(after.segments()).hasSize(segments);
        disk.failSyncs = false;
        StagingRecovery.run(after, after.identity(), stagingFile, disk);
        assertThat(stagingFile).doesNotExist();
        assertThat(sum(after).get(Totals.Sum.BYTES)).isEqualTo(300);
    }

    /** Requests are served while the disk is slow: no call on the event loop waits for it. */
    @Test
    void slowSyncDelaysNoRequest() throws Exception {
        Ledger ledger = open();
        disk.syncMs = 2000;
        use(ledger, 10);
        advance(5);
        long fromNs = System.nanoTime();
        for (int i = 0; i < 1000; i++) {
            ledger.retryAfterMs(request(0));
            use(ledger, 10);
        }
        assertThat(System.nanoTime() - fromNs).isLessThan(1_000_000_000L);
        disk.syncMs = 0;
        ledger.close();
    }

    @Test
    void rejectsTenantThatMustBeRecordedWhileTheDiskIsFull() throws Exception {
        Ledger ledger = open(settings(16, List.of("b")));
        assertThat(ledger.retryAfterMs(request(1))).isEqualTo(UsageListener.ADMITTED);
        disk.freeBytes = 0;
        for (int i = 0; i < 200; i++) {
            use(ledger, 10);
            advance(5);
        }
        assertThat(ledger.retryAfterMs(request(1))).isEqualTo(1);
        assertThat(ledger.retryAfterMs(request(0))).isEqualTo(UsageListener.ADMITTED);
        disk.freeBytes = Long.MAX_VALUE;
        awaitCondition(() -> {
            advance(1000);
            return ledger.retryAfterMs(request(1)) == UsageListener.ADMITTED;
        });
        ledger.close();
        assertThat(sum().get(Totals.Sum.BYTES)).isEqualTo(2000);
    }

    private static void copy(Path from, Path to) throws IOException {
        try (var all = Files.walk(from)) {
            for (Path file : all.toList()) {
                Files.copy(file, to.resolve(from.relativize(file).toString()));
            }
        }
    }

    /** The next start writes the staged entries of a killed process once, even if the recovery is interrupted. */
    @Test
    void recoversEntriesStagedByAKilledProcess() throws Exception {
        Ledger ledger = open();
        for (int i = 0; i < 30; i++) {
            use(ledger, 10);
            if (i == 9) {
                advance(5);
                awaitCondition(() -> disk.syncs > 1);
            }
        }
        // The state after a kill: the folder as it is, the staging file beside it, both unlocked.
        Path killed = folder.resolve("killed");
        copy(folder.resolve("l"), Files.createDirectories(folder).resolve("killed"));
        ledger.close();
        Path stagingFile = folder.resolve("clovermill-" + new LedgerFolder(killed).identity().folder() + ".stage");
        assertThat(stagingFile).doesNotExist();
        Ledger second = open();
        for (int i = 0; i < 30; i++) {
            use(second, 10);
        }
        // Staged, but not handed over.
        deadlines.sweep((monoMs + 5) * 1000);
        copy(folder.resolve("l"), folder.resolve("killed2"));
        Files.copy(stagingFile, folder.resolve("kept"));
        second.close();
        LedgerFolder after = new LedgerFolder(folder.resolve("killed2"));
        for (int i = 0; i < 2; i++) {
            Files.copy(folder.resolve("kept"), stagingFile);
            StagingRecovery.run(after, after.identity(), stagingFile, disk);
        }
        List<Entry> entries = new ArrayList<>();
        new LogReader(after).read(LogReader.Position.START, (header, entry) -> entries.add(entry));
        assertThat(entries).hasSize(60).filteredOn(Entry.Used.class::isInstance).hasSize(60);
        assertThat(Verification.of(after, read -> {}).faults()).isEmpty();
    }

    @Test
    void restartInTheSameMillisecondBeginsANewEpoch() throws Exception {
        for (int i = 0; i < 3; i++) {
            Ledger ledger = open();
            use(ledger, 10);
            ledger.close();
        }
        List<Long> epochs = new ArrayList<>();
        new LogReader(ledgerFolder()).read(LogReader.Position.START, (header, entry) -> epochs.add(header.epoch()));
        assertThat(epochs).containsExactly(1L, 2L, 3L);
    }

    @Test
    void rejectsAnotherInstanceOrASecondProcess() throws Exception {
        Ledger ledger = open();
        assertThatThrownBy(this::open).isInstanceOf(FolderLock.AlreadyLockedException.class);
        ledger.close();
        assertThatThrownBy(() -> Ledger.open(settings(64, List.of()), new Ledger.Director("n2", List.of("page",
                "order"), 1, 2, 4), clock, deadlines, Runnable::run, disk))
                .hasMessageContaining("is the ledger of instance n1, not of n2");
    }

    /** The clock steps by two hours and back: no period closes early, and no record gets a wrong time. */
    @Test
    void transientClockStepClosesNoPeriodEarly() throws Exception {
        Ledger ledger = open();
        use(ledger, 1);
        advance(1000);
        wallMs += 2 * HOUR;
        advance(1000);
        use(ledger, 2);
        wallMs -= 4 * HOUR;
        advance(1000);
        use(ledger, 3);
        wallMs += 2 * HOUR;
        advance(1000);
        ledger.close();
        List<Entry> entries = new ArrayList<>();
        new LogReader(ledgerFolder()).read(LogReader.Position.START, (header, entry) -> entries.add(entry));
        assertThat(entries).noneMatch(Entry.Close.class::isInstance);
        assertThat(entries).filteredOn(Entry.ClockStep.class::isInstance).hasSize(2);
        assertThat(entries).filteredOn(Entry.Used.class::isInstance).extracting(entry -> ((Entry.Used) entry).takenMs())
                .allMatch(takenMs -> takenMs / HOUR == 1000);
    }

    /**
     * A step of an hour that outlasts the settling time is adopted, and so is a step back after it: usage dated into
     * a period that was closed early becomes a correction, nothing is lost or counted twice, and the next period
     * closes on time.
     */
    @Test
    void adoptedClockStepAndItsReversalLoseNothing() throws Exception {
        Ledger ledger = open();
        use(ledger, 1);
        wallMs += HOUR;
        for (int seconds = 0; seconds <= 400; seconds++) {
            advance(1000);
        }
        use(ledger, 2);
        wallMs -= HOUR;
        for (int seconds = 0; seconds <= 400; seconds++) {
            advance(1000);
        }
        use(ledger, 4);
        advance(HOUR);
        use(ledger, 8);
        advance(HOUR);
        ledger.close();
        assertThat(sum().get(Totals.Sum.BYTES)).isEqualTo(15);
        List<Entry.Close> closings = new ArrayList<>();
        List<Long> takenHours = new ArrayList<>();
        new LogReader(ledgerFolder()).read(LogReader.Position.START, (header, entry) -> {
            if (entry instanceof Entry.Close close) {
                closings.add(close);
            } else if (entry instanceof Entry.Used used) {
                takenHours.add(used.takenMs() / HOUR);
            }
        });
        assertThat(takenHours).containsExactly(1000L, 1001L, 1000L, 1001L);
        assertThat(closings).extracting(Entry.Close::throughMs).containsExactly(1001 * HOUR, 1002 * HOUR);
    }

    private Exporter exporter() {
        return new Exporter(ledgerFolder(), new LedgerSettings.Export(folder.resolve("out").toString(), null, null,
                null, null), Volume.local(), new Random(1));
    }

    private static TreeMap<String, String> files(Path folder) throws IOException {
        TreeMap<String, String> files = new TreeMap<>();
        try (var list = Files.list(folder)) {
            for (Path file : list.toList()) {
                files.put(file.getFileName().toString(), Files.readString(file));
            }
        }
        return files;
    }

    @Test
    void lateRecordBecomesACorrectionAlsoAfterTheExport() throws Exception {
        Ledger ledger = open();
        use(ledger, 100);
        long taken = monoMs;
        advance(HOUR);
        use(ledger, 0, 7, taken);
        ledger.close();
        exporter().run();
        TreeMap<String, String> first = files(folder.resolve("out"));
        assertThat(first).hasSize(1);
        ledger = open();
        use(ledger, 0, 5, taken);
        advance(HOUR);
        ledger.close();
        assertThat(exporter().run().delivered()).containsExactly(2L);
        TreeMap<String, String> allFiles = files(folder.resolve("out"));
        assertThat(allFiles).containsAllEntriesOf(first);
        // Both late records arrived after the closing and before the next one.
        assertThat(allFiles.get("n1-e2-b2.csv")).contains("correction,1970-02-11T16:00:00Z,3600,a,2,");
        assertThat(allFiles.get("n1-e1-b1.csv")).contains("total,1970-02-11T16:00:00Z,3600,a,1,")
                .doesNotContain("correction");
        Reconciler reconciler = new Reconciler(List.of(ledgerFolder()), 30_000, read -> {});
        assertThat(reconciler.compare(reconciler.run(), folder.resolve("out"))).isEmpty();
    }

    @Test
    void rebuildAndCompactionKeepAllTotals() throws Exception {
        Ledger ledger = open();
        for (int hour = 0; hour < 5; hour++) {
            for (int i = 0; i < 100; i++) {
                use(ledger, i % 2, 10 + i, monoMs);
            }
            advance(HOUR);
        }
        ledger.close();
        exporter().run();
        TreeMap<String, String> out = files(folder.resolve("out"));
        TotalsStore.Rebuilt rebuilt = TotalsStore.rebuild(ledgerFolder(), read -> {});
        assertThat(rebuilt.after()).isEqualTo(rebuilt.before());
        int before = ledgerFolder().segments().size();
        Compactor.Result compacted = Compactor.run(ledgerFolder(), monoMs, 0, -1, Volume.local(), read -> {});
        assertThat(compacted.segments()).hasSizeBetween(3, before - 1);
        TotalsStore.Rebuilt again = TotalsStore.rebuild(ledgerFolder(), read -> {});
        assertThat(again.after()).isEqualTo(rebuilt.after());
        assertThat(exporter().run().delivered()).isEmpty();
        assertThat(files(folder.resolve("out"))).isEqualTo(out);
        assertThat(Verification.of(ledgerFolder(), read -> {}).faults()).isEmpty();
        // The remaining log still agrees with the batches delivered for it.
        Reconciler reconciler = new Reconciler(List.of(ledgerFolder()), 30_000, read -> {});
        assertThat(reconciler.compare(reconciler.run(), folder.resolve("out"))).isEmpty();
        assertThat(reconciler.completeFromMs()).isGreaterThan(1000 * HOUR);
    }

    @Test
    void flippedBitIsReportedAndTheRestIsRead() throws Exception {
        Ledger ledger = open();
        for (int i = 0; i < 500; i++) {
            use(ledger, 1);
        }
        ledger.close();
        Path file = ledgerFolder().segments().get(0).file();
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 4;
        Files.write(file, bytes);
        Verification found = Verification.of(ledgerFolder(), read -> {});
        assertThat(found.faults()).hasSize(2)
                .anyMatch(line -> line.matches("0000000001-00000001.seg: bytes .* damaged"))
                .anyMatch(line -> line.matches("epoch 1: records [0-9]+ to [0-9]+ are missing"));
        assertThat(found.entries()).isBetween(498L, 499L);
        assertThat(found.missing()).isEqualTo(500 - found.entries());
    }

    @Test
    void secondExporterIsRejectedWhileTheStoreIsLocked() throws Exception {
        open().close();
        try (TotalsStore store = TotalsStore.open(ledgerFolder())) {
            assertThat(store.batches()).isEmpty();
            assertThatThrownBy(() -> exporter().run()).isInstanceOf(FolderLock.AlreadyLockedException.class)
                    .hasMessageContaining("books.lock is held by process");
        }
    }
}
