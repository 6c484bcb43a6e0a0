package clovermill.controlplane.gossip.decide;

/**
 * One entry of the {@link ReplicatedMap}.
 *
 * @param key the key: a cache, for example
 * @param value whether the key is set: the cache is disabled, for example
 * @param version the Lamport timestamp of the write
 * @param origin the index of the director that made the write
 */
public record ReplicatedEntry(String key, boolean value, long version, int origin) {

    /**
     * Returns whether this write wins over another of the same key. The later version wins; of concurrent writes, one
     * that sets the key, then the one of the director with the higher index. The order is total, so that all replicas
     * converge to the same value in whatever order they receive the writes.
     *
     * @param other the other write, or null if there is none
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

    /** Returns this entry's contribution to the digest of a map. */
    long hash() {
        long hash = key.chars().asLongStream().reduce(value ? 7 : 11, (sum, c) -> mix(sum ^ c));
        return mix(hash ^ mix(version) + origin);
    }

    /** Applies the finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
