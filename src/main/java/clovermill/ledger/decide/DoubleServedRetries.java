package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds client retries that were served although another instance had served another attempt of the same request.
 * Takes two passes over the records: {@link #addRetry} collects the served retries, {@link #match} finds the other
 * attempts, at most {@code windowMs} earlier.
 */
public final class DoubleServedRetries {

    private record ServedRetry(String source, long takenMs, TotalsAggregator.Key key, long bytes) {}

    private final long windowMs;
    private final int maxRetries;
    private final Map<Long, List<ServedRetry>> byTryKey = new HashMap<>();
    private long skipped;

    /** Collects at most {@code maxRetries} retries; {@link #skipped} counts the others, which are ignored. */
    public DoubleServedRetries(long windowMs, int maxRetries) {
        this.windowMs = windowMs;
        this.maxRetries = maxRetries;
    }

    /** First pass: collects the record if it is a served retry. */
    public void addRetry(String source, long periodMs, Entry.Used used) {
        if (!used.repeat() || used.written() == 0) {
            return;
        }
        if (byTryKey.size() >= maxRetries) {
            skipped++;
            return;
        }
        byTryKey.computeIfAbsent(used.tryKey(), key -> new ArrayList<>(1)).add(new ServedRetry(source, used.takenMs(),
                new TotalsAggregator.Key(Period.of(used.takenMs(), periodMs), used.tenant()), used.written()));
    }

    /** Second pass: returns the retries for which this record is another served attempt; each is returned once. */
    public List<Reconciliation.DoubleServed> match(String source, Entry.Used used) {
        List<ServedRetry> retries = used.written() == 0 ? null : byTryKey.get(used.tryKey());
        if (retries == null) {
            return List.of();
        }
        List<Reconciliation.DoubleServed> found = new ArrayList<>();
        for (var each = retries.iterator(); each.hasNext();) {
            ServedRetry retry = each.next();
            long elapsedMs = retry.takenMs - used.takenMs();
            if (!retry.source.equals(source) && elapsedMs >= 0 && elapsedMs <= windowMs) {
                found.add(new Reconciliation.DoubleServed(retry.key, retry.bytes));
                each.remove();
            }
        }
        return found;
    }

    /** Returns the number of retries that were ignored because of the bound. */
    public long skipped() {
        return skipped;
    }
}
