package clovermill.ledger.decide;

import java.util.Map;
import java.util.TreeMap;

/**
 * Splits usage limits among instances for the next period by the usage of each in the last one. Each gets a minimum
 * share, so that an instance whose clients return has some; the rest is proportional to the usage.
 */
public final class LimitShares {

    /** The part of a limit that is split evenly, independent of usage. */
    private static final double EVEN_FRACTION = 0.3;

    private LimitShares() {}

    /**
     * Converts the bytes used by each instance, for one tenant, to shares whose sum is 1 (empty without instances).
     */
    public static Map<String, Double> next(Map<String, Long> usedByInstance) {
        long totalBytes = usedByInstance.values().stream().mapToLong(Long::longValue).sum();
        int count = usedByInstance.size();
        Map<String, Double> shares = new TreeMap<>();
        usedByInstance.forEach((instance, used) -> shares.put(instance, totalBytes == 0 ? 1.0 / count
                : EVEN_FRACTION / count + (1 - EVEN_FRACTION) * used / totalBytes));
        return shares;
    }
}
