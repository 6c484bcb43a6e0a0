package clovermill.controlplane.gossip.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A last-writer-wins map, ordered by Lamport timestamps (Shapiro et al., "Conflict-free Replicated Data Types",
 * 2011): replicas that have received the same entries have the same values, and merging an entry twice or late
 * changes nothing. An entry that was unset remains as a tombstone, so that a late copy of the earlier write cannot
 * set it again.
 */
public final class ReplicatedMap {

    /** Maximum number of keys, tombstones included; at the bound a new key is rejected. */
    static final int MAX_ENTRIES = 10_000;
    /** Higher versions are rejected, so that a forged one cannot win forever. */
    private static final long MAX_VERSION = 1L << 40;

    private final int self;
    private final TreeMap<String, ReplicatedEntry> byKey = new TreeMap<>();
    private long clock;
    private long digest;
    private String cursor = "";

    ReplicatedMap(int self) {
        this.self = self;
    }

    /** Writes a key; returns the new entry, or null if the key has that value already or the map is full. */
    ReplicatedEntry put(String key, boolean value) {
        ReplicatedEntry known = byKey.get(key);
        if (known == null ? !value : known.value() == value) {
            return null;
        }
        ReplicatedEntry written = new ReplicatedEntry(key, value, clock + 1, self);
        return merge(written) ? written : null;
    }

    /** Merges an entry of another replica; returns whether it changed this map. */
    boolean merge(ReplicatedEntry entry) {
        ReplicatedEntry known = byKey.get(entry.key());
        if (entry.version() < 1 || entry.version() > MAX_VERSION || !entry.supersedes(known)
                || known == null && byKey.size() >= MAX_ENTRIES) {
            return false;
        }
        clock = Math.max(clock, entry.version());
        digest ^= entry.hash() ^ (known == null ? 0 : known.hash());
        byKey.put(entry.key(), entry);
        return true;
    }

    /** Returns a digest that is equal at all replicas with the same entries. */
    long digest() {
        return digest;
    }

    /** Returns the next {@code count} entries, in cyclic key order; sent to a peer whose digest differs. */
    List<ReplicatedEntry> nextPage(int count) {
        List<ReplicatedEntry> page = new ArrayList<>(
                byKey.tailMap(cursor, false).values().stream().limit(count).toList());
        byKey.headMap(cursor, true).values().stream().limit(count - page.size()).forEach(page::add);
        cursor = page.isEmpty() ? "" : page.get(page.size() - 1).key();
        return page;
    }

    /** Returns the entry of a key, or null if there is none. */
    ReplicatedEntry get(String key) {
        return byKey.get(key);
    }
}
