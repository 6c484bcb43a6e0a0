package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.runtime.net.Peers;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;

/**
 * The part {@code accord} of the settings. Absent values have their defaults.
 *
 * @param directors host:port of all directors, in the same order everywhere
 * @param self the index of this director
 * @param voters the indices of the directors that vote
 * @param keyFile the file with the key that signs datagrams
 * @param folder a voter's durable folder
 * @param leaseMs how long a lease lasts
 * @param renewalMs the interval between lease requests
 * @param drift the largest deviation of a clock's rate from true time, as a fraction
 * @param withoutLease {@code refuse} for every tenant, or {@code protected} for protected tenants only
 */
public record PolicyStoreSettings(List<String> directors, int self, List<Integer> voters,
        @JsonProperty("key_file") String keyFile, String folder, @JsonProperty("lease_ms") Long leaseMs,
        @JsonProperty("ask_ms") Long renewalMs, Double drift, @JsonProperty("without_lease") String withoutLease) {

    private static final List<Integer> VOTER_COUNTS = List.of(3, 5, 7);
    private static final int MIN_DIRECTORS = 3;
    private static final int MIN_RENEWALS_PER_LEASE = 3;
    private static final long DEFAULT_LEASE_MS = 10_000;
    private static final long DEFAULT_RENEWAL_MS = 1000;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * Checks what no schema can.
     *
     * @throws IllegalArgumentException naming the field and the reason
     */
    public void check() {
        if (directors == null || directors.size() < MIN_DIRECTORS || self < 0 || self >= directors.size()) {
            throw new IllegalArgumentException("/accord/self: " + self + " is no place among the directors");
        }
        if (!VOTER_COUNTS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size()
                || voters.stream().anyMatch(each -> each < 0 || each >= directors.size())) {
            throw new IllegalArgumentException("/accord/voters: 3, 5 or 7 different directors are wanted");
        }
        if (isVoter() && folder == null) {
            throw new IllegalArgumentException("/accord/folder: a voter needs a folder that lasts");
        }
        if (timing().leaseUs() < MIN_RENEWALS_PER_LEASE * timing().renewalUs()) {
            throw new IllegalArgumentException(
                    "/accord/lease_ms: three times ask_ms at least, or a lost question ends a lease");
        }
        addresses();
        key();
    }

    /** Whether this director is a voter. */
    boolean isVoter() {
        return voters.contains(self);
    }

    /** Whether every tenant is refused without a lease. */
    public boolean refusesAllWithoutLease() {
        return "refuse".equals(withoutLease);
    }

    LeaseTiming timing() {
        return new LeaseTiming(directors.size(),
                (leaseMs == null ? DEFAULT_LEASE_MS : leaseMs) * MICROS_PER_MILLI,
                (renewalMs == null ? DEFAULT_RENEWAL_MS : renewalMs) * MICROS_PER_MILLI,
                drift == null ? DEFAULT_DRIFT : drift);
    }

    List<InetSocketAddress> addresses() {
        return Peers.addresses("/accord", directors);
    }

    byte[] key() {
        return Peers.key("/accord", keyFile);
    }
}
