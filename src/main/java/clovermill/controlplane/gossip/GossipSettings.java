package clovermill.controlplane.gossip;

import clovermill.controlplane.gossip.decide.ConcurrencyLimitShare;
import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.gossip.decide.LimitShare;
import clovermill.controlplane.gossip.decide.RateLimitShare;
import clovermill.runtime.net.Peers;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of gossip and of the limits on the fleet. Absent values have defaults.
 *
 * @param directors the addresses of all directors, in the same order at each
 * @param self the index of this director
 * @param keyFile the file with the key for signatures
 * @param intervalMs the time between two sends
 * @param fanout the number of peers that each send goes to
 * @param termMs the term of a loan
 * @param burstMs the capacity of a rate limit's token bucket, as a time at its fill rate
 * @param drift the bound on clock drift, as a fraction
 * @param limits the limits on the whole fleet
 */
public record GossipSettings(List<String> directors, int self, @JsonProperty("key_file") String keyFile,
        @JsonProperty("interval_ms") Long intervalMs, Integer fanout, @JsonProperty("term_ms") Long termMs,
        @JsonProperty("burst_ms") Long burstMs, Double drift, List<Limit> limits) {

    /**
     * A limit on all directors together: either requests per second or open requests. It counts every request, unless
     * it is restricted to a class, to a range of groups (a tenant's) or to clients' repeats.
     *
     * @param groups the first and the last group, or null for all
     * @param repeats whether only clients' repeats are counted
     */
    public record Limit(String name, @JsonProperty("class") String requestClass, List<Integer> groups, boolean repeats,
            @JsonProperty("per_second") Double perSecond, Integer open) {}

    private static final long MAX_TERM_MS = 60_000;

    /**
     * Checks the conditions that the schema cannot express.
     *
     * @param classes the names of all request classes, or null if they are unknown
     * @throws IllegalArgumentException if a value is invalid; the message names the field and the reason
     */
    public void check(List<String> classes) {
        if (directors == null || directors.size() < 2 || self < 0 || self >= directors.size()) {
            throw new IllegalArgumentException("/fleet/self: " + self + " is no index of the directors");
        }
        addresses();
        key();
        for (Limit limit : limits()) {
            if (classes != null && limit.requestClass != null && !classes.contains(limit.requestClass)) {
                throw new IllegalArgumentException("/fleet/limits: " + limit.name + ": no class is called "
                        + limit.requestClass);
            }
            if ((limit.perSecond == null) == (limit.open == null)) {
                throw new IllegalArgumentException("/fleet/limits: " + limit.name
                        + ": per_second or open, one of them");
            }
        }
        long term = termMs == null ? 2000 : termMs;
        if (term > MAX_TERM_MS || term < 2 * intervalMsOrDefault()) {
            throw new IllegalArgumentException("/fleet/term_ms: " + term + " is under two intervals, or over a minute");
        }
    }

    /** Returns the limits in their order, empty if none are configured. */
    @Override
    public List<Limit> limits() {
        return limits == null ? List.of() : limits;
    }

    private long intervalMsOrDefault() {
        return intervalMs == null ? 200 : intervalMs;
    }

    /** Returns this director's place in the group. */
    GossipMember.GroupMembership membership() {
        return new GossipMember.GroupMembership(self, directors.size(), intervalMsOrDefault() * 1000,
                fanout == null ? 4 : fanout);
    }

    /** Creates this director's shares of the limits, in their order. */
    List<LimitShare> shares(long nowUs) {
        double burstS = (burstMs == null ? 100 : burstMs) / 1000.0;
        long termUs = (termMs == null ? 2000 : termMs) * 1000;
        double maxDrift = drift == null ? 0.01 : drift;
        List<LimitShare> shares = new ArrayList<>();
        for (Limit limit : limits()) {
            shares.add(limit.open != null
                    ? new ConcurrencyLimitShare(
                            new ConcurrencyLimitShare.Parameters(limit.open, directors.size(), termUs, maxDrift), self,
                            nowUs)
                    : new RateLimitShare(
                            new RateLimitShare.Parameters(limit.perSecond, directors.size(), burstS, termUs, maxDrift),
                            nowUs));
        }
        return shares;
    }

    /** Resolves the addresses of all directors, in their order. */
    List<InetSocketAddress> addresses() {
        return Peers.addresses("/fleet", directors);
    }

    /** Reads the fleet's key for signatures. */
    byte[] key() {
        return Peers.key("/fleet", keyFile);
    }
}
