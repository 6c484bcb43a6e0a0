package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;

/**
 * Combines the usage that independent instances recorded, and reports what is certain. Usage that was recorded twice
 * is counted once; missing records, and requests that may have been served twice to one client, are reported
 * separately.
 */
public final class Reconciliation {

    /** The usage of one epoch in one folder. */
    public record EpochUsage(String source, UUID folder, String instance, long epoch, long lastSeq, long missing,
            Map<TotalsAggregator.Key, Totals> totals) {}

    /** A served retry of a request for which another instance had served another client attempt. */
    public record DoubleServed(TotalsAggregator.Key key, long bytes) {}

    /**
     * One row of the report, with the part of it that was spent on retries of requests that may have been served
     * twice.
     */
    public record Row(TotalsAggregator.Key key, Totals totals, long doubleServedRequests, long doubleServedBytes) {}

    /** The result; {@code findings} are messages, {@code uncertainShare} is the uncertain fraction of all bytes. */
    public record Report(List<Row> rows, List<String> findings, long bytes, long missedBytes, long doubleServedBytes,
            long missingRecords, long repeatedRecords, boolean duplicateInstanceName, double uncertainShare) {}

    private final TreeMap<TotalsAggregator.Key, Totals> totals = new TreeMap<>();
    private final Map<TotalsAggregator.Key, long[]> doubleServed = new HashMap<>();
    private final List<EpochUsage> epochs = new ArrayList<>();
    private final List<String> findings = new ArrayList<>();

    /** Adds the usage of an epoch in a folder. */
    public void add(EpochUsage usage) {
        epochs.add(usage);
    }

    /** Adds a retry of a request that may have been served twice. */
    public void add(DoubleServed doubleServedRetry) {
        long[] sums = doubleServed.computeIfAbsent(doubleServedRetry.key, key -> new long[2]);
        sums[0]++;
        sums[1] += doubleServedRetry.bytes;
    }

    /** Returns the combined report. */
    public Report report() {
        Map<String, EpochUsage> byEpoch = new TreeMap<>();
        Map<String, TreeSet<String>> foldersOf = new TreeMap<>();
        long repeated = 0;
        for (EpochUsage usage : epochs) {
            foldersOf.computeIfAbsent(usage.instance, name -> new TreeSet<>()).add(usage.folder.toString());
            String id = usage.folder + "/" + String.format("%016x", usage.epoch);
            EpochUsage other = byEpoch.putIfAbsent(id, usage);
            if (other != null) {
                EpochUsage kept = usage.lastSeq - usage.missing > other.lastSeq - other.missing ? usage : other;
                byEpoch.put(id, kept);
                long duplicates = Math.min(usage.lastSeq, other.lastSeq);
                repeated += duplicates;
                findings.add(
                        duplicates + " records of " + usage.instance + ", epoch " + usage.epoch + ", stand in both "
                                + other.source + " and " + usage.source + ": counted once, from " + kept.source);
            }
        }
        boolean duplicateInstanceName = false;
        for (Map.Entry<String, TreeSet<String>> each : foldersOf.entrySet()) {
            if (each.getValue().size() > 1) {
                duplicateInstanceName = true;
                findings.add("the name " + each.getKey() + " is used by " + each.getValue().size()
                        + " instances: a receiver may have confused their batches");
            }
        }
        long missing = 0;
        for (EpochUsage usage : byEpoch.values()) {
            usage.totals.forEach((key, sums) -> totals.computeIfAbsent(key, absent -> new Totals()).add(sums));
            missing += usage.missing;
            if (usage.missing > 0) {
                findings.add(usage.missing + " records of " + usage.instance + ", epoch " + usage.epoch
                        + ", are missing from " + usage.source);
            }
        }
        return report(repeated, duplicateInstanceName, missing);
    }

    private Report report(long repeated, boolean duplicateInstanceName, long missing) {
        List<Row> rows = new ArrayList<>();
        long bytes = 0;
        long requests = 0;
        long missedBytes = 0;
        long doubleServedBytes = 0;
        for (Map.Entry<TotalsAggregator.Key, Totals> each : totals.entrySet()) {
            long[] doubleServedSums = doubleServed.getOrDefault(each.getKey(), new long[2]);
            rows.add(new Row(each.getKey(), each.getValue(), doubleServedSums[0], doubleServedSums[1]));
            bytes += each.getValue().get(Totals.Sum.BYTES);
            requests += each.getValue().get(Totals.Sum.REQUESTS);
            missedBytes += each.getValue().get(Totals.Sum.MISSED_BYTES);
            doubleServedBytes += doubleServedSums[1];
        }
        if (missedBytes > 0) {
            findings.add(
                    missedBytes + " bytes are known only from gap entries: exact in total, without individual records");
        }
        if (doubleServedBytes > 0) {
            findings.add(doubleServedBytes
                    + " bytes were served to client retries although another attempt was served as well");
        }
        // Each missing record is estimated at the mean size.
        double missingBytes = requests == 0 ? missing : (double) missing * bytes / requests;
        double uncertainShare = bytes == 0 ? (missingBytes > 0 ? 1 : 0) : (missingBytes + doubleServedBytes) / bytes;
        return new Report(rows, findings, bytes, missedBytes, doubleServedBytes, missing, repeated,
                duplicateInstanceName, uncertainShare);
    }
}
