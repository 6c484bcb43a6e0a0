package clovermill.controlplane.gossip.decide;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * New entries that the next messages carry unprompted (rumor mongering: Demers et al., "Epidemic Algorithms for
 * Replicated Database Maintenance", 1987), each so often that it very likely reaches the whole group; what it misses is
 * left to anti-entropy. Holds at most one rumor for each key of the replicated map. Not thread-safe.
 */
final class RumorQueue {

    /** A rumor is sent this many times the logarithm of the group's size. */
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

    /** For a group of so many directors. */
    RumorQueue(int directors) {
        this.sends = SENDS_FACTOR * (int) Math.ceil(Math.log(directors + 1));
    }

    /** Has the next messages carry an entry, in place of an earlier one of its key. */
    void start(ReplicatedEntry entry) {
        rumors.put(entry.key(), new Rumor(entry, sends));
    }

    /** Adds to a message's entries up to so many in all, and counts them as sent once more. */
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
