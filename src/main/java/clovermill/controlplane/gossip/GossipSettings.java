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
 * The fleet's part of our settings: the addresses of all directors in the same order everywhere, which of them this
 * one is, the key, how often they send, and the limits. What is absent has its default.
 */
public record GossipSettings(List<String> directors, int self, @JsonProperty("key_file") String keyFile,
        @JsonProperty("interval_ms") Long intervalMs, Integer fanout, @JsonProperty("term_ms") Long termMs,
        @JsonProperty("burst_ms") Long burstMs, Double drift, List<Limit> limits) {

    /**
     * A limit on all directors together: requests by second, or requests open at once. It counts those of a class, of
     * a range of groups (a tenant's), or only clients' repeats, where these are given; otherwise every request.
     */
    public record Limit(String name, @JsonProperty("class") String requestClass, List<Integer> groups, boolean repeats,
            @JsonProperty("per_second") Double perSecond, Integer open) {}

    private static final long MAX_TERM_MS = 60_000;

    /**
     * Checks what the schema cannot.
     *
     * @param classes the names of all request classes, or null if they are unknown
     * @throws IllegalArgumentException if a value cannot be used; the message names the field and the reason
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
        if (term > MAX_TERM_MS || term < 2 * interval()) {
            throw new IllegalArgumentException("/fleet/term_ms: " + term + " is under two intervals, or over a minute");
        }
    }

    /** The limits in their order, empty if none are given. */
    @Override
    public List<Limit> limits() {
        return limits == null ? List.of() : limits;
    }

    private long interval() {
        return intervalMs == null ? 200 : intervalMs;
    }

    /** This director's place in the group. */
    GossipMember.GroupMembership membership() {
        return new GossipMember.GroupMembership(self, directors.size(), interval() * 1000, fanout == null ? 4 : fanout);
    }

    /** This director's shares of the limits, in their order. */
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

    /** The addresses of all directors, in their order. */
    List<InetSocketAddress> addresses() {
        return Peers.addresses("/fleet", directors);
    }

    /** The fleet's key for signatures. */
    byte[] key() {
        return Peers.key("/fleet", keyFile);
    }
}
