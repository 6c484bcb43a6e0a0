package clovermill.controlplane.gossip.decide;

/**
 * One entry of the {@link ReplicatedMap}: a key (a cache, a credential), whether it is set (the cache is out, the
 * credential is revoked), and the Lamport timestamp of the write with the number of the director that made it.
 */
public record ReplicatedEntry(String key, boolean value, long version, int origin) {

    /**
     * Whether this write wins over another of the same key, where null is none: the later version wins; of concurrent
     * writes, one that sets the key, then the one of the director with the higher number. The order is total, so all
     * replicas come to the same value in whatever order they receive the writes.
     */
    boolean supersedes(ReplicatedEntry other) {
        if (other == null) {
            return true;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return value != other.value ? value : origin > other.origin;
    }

    /** This entry's contribution to the digest of a map. */
    long hash() {
        long hash = key.chars().asLongStream().reduce(value ? 7 : 11, (sum, c) -> mix(sum ^ c));
        return mix(hash ^ mix(version) + origin);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
