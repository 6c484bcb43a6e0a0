package clovermill.controlplane.gossip.decide;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * New entries that are sent in the next messages without a request (rumor mongering: Demers et al., "Epidemic
 * Algorithms for Replicated Database Maintenance", 1987), each so often that it very likely reaches the whole group;
 * members that it does not reach receive it by anti-entropy. Contains at most one rumor for each key of the replicated
 * map. Not thread-safe.
 */
final class RumorQueue {

    /** Number of sends of a rumor, as a multiple of the logarithm of the group's size. */
    private static final int SENDS_FACTOR = 4;

    private static final class Rumor {
        private final ReplicatedEntry entry;
        private int sendsLeft;

        Rumor(ReplicatedEntry entry, int sendsLeft) {
            this.entry = entry;
            this.sendsLeft = sendsLeft;
        }
    }

    private final Map<String, Rumor> rumors = new LinkedHashMap<>();
    private final int sends;

    /** Creates an empty queue for a group of {@code directors}. */
    RumorQueue(int directors) {
        this.sends = SENDS_FACTOR * (int) Math.ceil(Math.log(directors + 1));
    }

    /** Adds an entry to the next messages, in place of an earlier one of its key. */
    void start(ReplicatedEntry entry) {
        rumors.put(entry.key(), new Rumor(entry, sends));
    }

    /** Adds rumors to a message's entries, up to {@code maxEntries} in all, and counts them as sent once more. */
    void addTo(Map<String, ReplicatedEntry> entries, int maxEntries) {
        rumors.values().removeIf(rumor -> rumor.sendsLeft <= 0);
        for (Rumor rumor : rumors.values()) {
            if (entries.size() < maxEntries) {
                entries.put(rumor.entry.key(), rumor.entry);
                rumor.sendsLeft--;
            }
        }
    }
}
