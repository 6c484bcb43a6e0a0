package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.runtime.net.Peers;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;

/**
 * The accord's part of our settings: the addresses of all directors in the same order everywhere, which of them this
 * one is, which vote, the key, a folder that lasts for those that vote, and the figures. What is absent has its
 * default.
 */
public record PolicyStoreSettings(List<String> directors, int self, List<Integer> voters,
        @JsonProperty("key_file") String keyFile, String folder, @JsonProperty("lease_ms") Long leaseMs,
        @JsonProperty("ask_ms") Long askMs, Double drift, @JsonProperty("without_lease") String withoutLease) {

    private static final List<Integer> GROUPS = List.of(3, 5, 7);

    /** Checks what no schema can; an {@link IllegalArgumentException} says which field and why. */
    public void check() {
        if (directors == null || directors.size() < 3 || self < 0 || self >= directors.size()) {
            throw new IllegalArgumentException("/accord/self: " + self + " is no place among the directors");
        }
        if (!GROUPS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size()
                || voters.stream().anyMatch(each -> each < 0 || each >= directors.size())) {
            throw new IllegalArgumentException("/accord/voters: 3, 5 or 7 different directors are wanted");
        }
        if (votes() && folder == null) {
            throw new IllegalArgumentException("/accord/folder: a voter needs a folder that lasts");
        }
        if (terms().leaseUs() < 3 * terms().askUs()) {
            throw new IllegalArgumentException(
                    "/accord/lease_ms: three times ask_ms at least, or a lost question ends a lease");
        }
        addresses();
        key();
    }

    /** Whether this director votes. */
    boolean votes() {
        return voters.contains(self);
    }

    /** Whether nothing at all is served without a lease. */
    public boolean allBound() {
        return "refuse".equals(withoutLease);
    }

    LeaseTiming terms() {
        return new LeaseTiming(directors.size(), (leaseMs == null ? 10_000 : leaseMs) * 1000,
                (askMs == null ? 1000 : askMs)
                        * 1000,
                drift == null ? 0.01 : drift);
    }

    List<InetSocketAddress> addresses() {
        return Peers.addresses("/accord", directors);
    }

    byte[] key() {
        return Peers.key("/accord", keyFile);
    }
}
