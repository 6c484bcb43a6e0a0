package clovermill.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.export.BatchText;
import clovermill.ledger.export.Exporter;
import clovermill.ledger.totals.TotalsStore;
import clovermill.ledger.totals.Verification;
import clovermill.routing.api.CacheStatus;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.storage.CrashPoint;
import clovermill.storage.Volume;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process is halted at each crash point; the next ones continue, and all usage is exported exactly once. */
class CrashPointsTest {

    private static final long HOUR = 3_600_000;
    private static final int REQUESTS = 200;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"ledger.append:120", "ledger.before-open:2", "ledger.opened:2", "ledger.closed:2",
        "segment.before-write:3", "segment.after-write:3", "segment.after-sync:3", "store.replace.before-sync:2",
        "store.replace.before-rename:2", "store.replace.after-rename:2", "export.before-write", "export.after-rename",
        "export.before-commit", "export.after-commit", "books.before-commit", "books.after-commit",
        "rebuild.before-rename", "rebuild.after-rename"})
    void exportsAllUsageOnceAfterAHaltAtAnyCrashPoint(String point) throws Exception {
        assertThat(runProcess("-D" + CrashPoint.PROPERTY + "=" + point)).isEqualTo(137);
        if (point.startsWith("ledger") || point.startsWith("segment")) {
            assertThat(runProcess("-D" + CrashPoint.PROPERTY + "=rescue.before-delete")).isEqualTo(137);
        }
        assertThat(runProcess("-Dnothing=1")).isZero();
        LedgerFolder ledger = new LedgerFolder(folder.resolve("l"));
        assertThat(Verification.of(ledger, read -> {}).faults()).isEmpty();
        long requests = 0;
        long bytes = 0;
        try (Stream<Path> files = Files.list(folder.resolve("out"))) {
            for (Path file : files.filter(each -> each.toString().endsWith(".csv")).toList()) {
                try (Reader reader = Files.newBufferedReader(file)) {
                    for (BatchText.Row row : BatchText.read(reader)) {
                        requests += row.totals().get(Totals.Sum.REQUESTS);
                        bytes += row.totals().get(Totals.Sum.BYTES);
                    }
                }
            }
        }
        long recorded = Files.readAllBytes(folder.resolve("recorded")).length;
        // All usage of a halted process counts, except for the last request: the staging file outlives the process.
        assertThat(requests).isBetween(recorded - 1, recorded);
        assertThat(bytes).isEqualTo(10 * requests);
    }

    private int runProcess(String option) throws Exception {
        return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), option,
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                CrashPointsTest.class.getName(), folder.toString()).redirectErrorStream(true)
                .redirectOutput(folder.resolve("printed").toFile()).start().waitFor();
    }

    /**
     * Runs one process: usage over three hours, the period closings, an export and a rebuild. Each request is also
     * recorded in a file.
     */
    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        Path recordFile = folder.resolve("recorded");
        // Later than in any earlier process.
        long[] nowMs = {(1000 + (Files.exists(recordFile) ? Files.size(recordFile) : 0)) * HOUR};
        Clock clock = new Clock() {
            @Override
            public long micros() {
                return nowMs[0] * 1000;
            }

            @Override
            public long unixMillis() {
                return nowMs[0];
            }
        };
        Deadlines deadlines = new Deadlines();
        LedgerSettings settings = new LedgerSettings(folder.resolve("l").toString(), null, null, null, 64,
                folder.toString(), 0L, 0L, null, 1, 1L, null, null, null, null, null, null, null, null, null);
        Ledger ledger = Ledger.open(settings, new Ledger.Director("n1", List.of("page"), 1, 2, 4), clock, deadlines,
                Runnable::run, Volume.local());
        try (var recorded = Files.newOutputStream(recordFile, StandardOpenOption.CREATE,
                StandardOpenOption.APPEND)) {
            for (int i = 0; i < REQUESTS; i++) {
                recorded.write(1);
                ledger.requestEnded(new UsageRecord(
                        new ClientRequest(String.format("%016x", i), 0, "page", "7f3a9c21e0b4d655", 0, 0, 1, 1,
                                false, null, null, new byte[0]),
                        true, nowMs[0] * 1000, nowMs[0] * 1000, UsageRecord.End.SERVED, 1,
                        "s-1", null, CacheStatus.HIT, 10, 10));
                nowMs[0] += 3 * HOUR / REQUESTS;
                deadlines.sweep(nowMs[0] * 1000);
                deadlines.sweep(nowMs[0] * 1000);
            }
            nowMs[0] += 2 * HOUR;
            deadlines.sweep(nowMs[0] * 1000);
        }
        ledger.close();
        LedgerFolder ledgerFolder = new LedgerFolder(folder.resolve("l"));
        new Exporter(ledgerFolder, new LedgerSettings.Export(folder.resolve("out").toString(), null, null, null, null),
                Volume.local(), new Random(1)).run();
        TotalsStore.rebuild(ledgerFolder, read -> {});
    }
}
