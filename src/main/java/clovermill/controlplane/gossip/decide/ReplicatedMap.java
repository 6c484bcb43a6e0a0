package clovermill.controlplane.gossip.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A last-writer-wins map, ordered by Lamport timestamps (Shapiro et al., "Conflict-free Replicated Data Types",
 * 2011): replicas that have received the same entries hold the same values, and merging an entry twice or late
 * changes nothing. An entry that was unset stays as a tombstone, so that a late copy of the earlier write cannot
 * bring it back.
 */
public final class ReplicatedMap {

    /** Keys held, tombstones included; at the bound a further key is refused, and {@link #put} returns null. */
    static final int MAX_ENTRIES = 10_000;
    /** Versions beyond this are refused: a forged one must not win for ever. */
    private static final long MAX_VERSION = 1L << 40;

    private final int self;
    private final TreeMap<String, ReplicatedEntry> byKey = new TreeMap<>();
    private long clock;
    private long digest;
    private String cursor = "";

    ReplicatedMap(int self) {
        this.self = self;
    }

    /** Writes a key here; null where it has that value already or the map is full. */
    ReplicatedEntry put(String key, boolean value) {
        ReplicatedEntry known = byKey.get(key);
        if (known == null ? !value : known.value() == value) {
            return null;
        }
        ReplicatedEntry written = new ReplicatedEntry(key, value, clock + 1, self);
        return merge(written) ? written : null;
    }

    /** Merges an entry that another replica sent; true if it changed this map. */
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

    /** Equal at all replicas that hold the same entries. */
    long digest() {
        return digest;
    }

    /** The next few entries, round and round: the anti-entropy traffic to a peer whose digest differs. */
    List<ReplicatedEntry> nextPage(int count) {
        List<ReplicatedEntry> page = new ArrayList<>(
                byKey.tailMap(cursor, false).values().stream().limit(count).toList());
        byKey.headMap(cursor, true).values().stream().limit(count - page.size()).forEach(page::add);
        cursor = page.isEmpty() ? "" : page.get(page.size() - 1).key();
        return page;
    }

    /** The entry of a key, or null. */
    ReplicatedEntry get(String key) {
        return byKey.get(key);
    }
}
