package clovermill.ledger.decide;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which tenants have reached their usage limit for a period. Each instance has a share of every tenant's
 * limit, since instances do not communicate. From the soft share on, requests of low worth are rejected, from the
 * hard limit on all. Requests in progress count with the tenant's mean size, so that a hard limit is exceeded by
 * little. Only the tenants in {@code limits} are counted, which bounds the memory. Not thread-safe.
 */
public final class UsageLimits {

    /**
     * A tenant's limit for one period, for all instances together; 0 means unlimited. From the fraction {@code soft}
     * of it on, classes in {@code lowWorth} are rejected.
     */
    public record Limit(long bytes, long requests, double soft, Set<Integer> lowWorth) {}

    /** The result of {@link #retryAfterMs} for a request that may be served. */
    public static final long ALLOWED = -1;

    private static final class Usage {
        Period period;
        long bytes;
        long requests;
        long completed;
        int inFlight;
    }

    private final Map<String, Limit> limits;
    private final Map<String, Usage> usageByTenant = new HashMap<>();
    private final long periodMs;
    private Map<String, Double> shares;

    /**
     * Creates limits without usage. {@code shares} is this instance's share of each tenant's limit; a tenant without
     * an entry gets the whole limit.
     */
    public UsageLimits(Map<String, Limit> limits, Map<String, Double> shares, long periodMs) {
        this.limits = Map.copyOf(limits);
        this.shares = Map.copyOf(shares);
        this.periodMs = periodMs;
    }

    /** Replaces the shares from now on. */
    public void setShares(Map<String, Double> newShares) {
        shares = Map.copyOf(newShares);
    }

    /** Returns whether no tenant is limited. */
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Returns after how many milliseconds such a request may be retried, or {@link #ALLOWED}. */
    public long retryAfterMs(String tenant, int requestClass, long nowMs) {
        Limit limit = limits.get(tenant);
        if (limit == null) {
            return ALLOWED;
        }
        Usage usage = usage(tenant, nowMs);
        double fraction = limit.lowWorth.contains(requestClass) ? limit.soft : 1;
        double share = shares.getOrDefault(tenant, 1.0) * fraction;
        long meanBytes = usage.completed == 0 ? 0 : usage.bytes / usage.completed;
        boolean reached = limit.bytes > 0 && usage.bytes + meanBytes * usage.inFlight >= limit.bytes * share
                || limit.requests > 0 && usage.requests + usage.inFlight >= limit.requests * share;
        return reached ? Math.max(1, usage.period.endMs() - nowMs) : ALLOWED;
    }

    /** Counts a request in progress. */
    public void requestAdmitted(String tenant, long nowMs) {
        if (limits.containsKey(tenant)) {
            usage(tenant, nowMs).inFlight++;
        }
    }

    /** Stops counting a request in progress that was admitted here and rejected elsewhere. */
    public void admissionWithdrawn(String tenant, long nowMs) {
        if (limits.containsKey(tenant)) {
            Usage usage = usage(tenant, nowMs);
            usage.inFlight = Math.max(0, usage.inFlight - 1);
        }
    }

    /** Counts a completed request, in the period in which it was received. */
    public void requestEnded(String tenant, long receivedMs, long bytes, long nowMs) {
        if (limits.containsKey(tenant)) {
            Usage usage = usage(tenant, nowMs);
            usage.inFlight = Math.max(0, usage.inFlight - 1);
            count(usage, receivedMs, 1, bytes);
        }
    }

    /** Adds the usage before a restart: one tenant's total in one period. */
    public void restore(Period period, String tenant, Totals totals) {
        if (limits.containsKey(tenant) && period.lengthMs() == periodMs) {
            Usage usage = usage(tenant, period.startMs());
            count(usage, period.startMs(), totals.get(Totals.Sum.REQUESTS) - totals.get(Totals.Sum.REFUSED),
                    totals.get(Totals.Sum.BYTES));
        }
    }

    private static void count(Usage usage, long receivedMs, long requests, long bytes) {
        if (receivedMs >= usage.period.startMs()) {
            usage.bytes += bytes;
            usage.requests += requests;
            usage.completed += requests;
        }
    }

    /**
     * Returns the tenant's usage in the period of {@code nowMs}; a later period starts at zero, an earlier one is
     * ignored.
     */
    private Usage usage(String tenant, long nowMs) {
        Usage usage = usageByTenant.computeIfAbsent(tenant, key -> new Usage());
        Period period = Period.of(nowMs, periodMs);
        if (usage.period == null || period.startMs() > usage.period.startMs()) {
            usage.period = period;
            usage.bytes = 0;
            usage.requests = 0;
            usage.completed = 0;
        }
        return usage;
    }

    /** Returns the bytes that a tenant has used in the current period. */
    public long usedBytes(String tenant) {
        Usage usage = usageByTenant.get(tenant);
        return usage == null ? 0 : usage.bytes;
    }
}
