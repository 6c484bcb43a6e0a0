package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sequences of a log that were passed over, by epoch. One that comes after all is taken out again. Not thread-safe.
 */
final class SequenceHoles {

    /** More holes than these are not kept: what lies in the others stays missing. */
    static final int MOST_HOLES = 10_000;

    /** By epoch, the last sequence of each hole by its first. */
    private final Map<Long, TreeMap<Long, Long>> byEpoch = new HashMap<>();
    private int count;

    SequenceHoles(List<Accounts.Hole> known) {
        known.forEach(this::add);
    }

    /** Notes a hole; beyond {@link #MOST_HOLES} it is forgotten. */
    void add(Accounts.Hole hole) {
        if (count < MOST_HOLES) {
            count++;
            byEpoch.computeIfAbsent(hole.epoch(), epoch -> new TreeMap<>()).put(hole.from(), hole.to());
        }
    }

    /** Takes a sequence out of the hole that it lies in; false if it lies in none. */
    boolean fill(long epoch, long seq) {
        TreeMap<Long, Long> holes = byEpoch.get(epoch);
        Map.Entry<Long, Long> hole = holes == null ? null : holes.floorEntry(seq);
        if (hole == null || hole.getValue() < seq) {
            return false;
        }
        long from = hole.getKey();
        long to = hole.getValue();
        holes.remove(from);
        count--;
        if (from < seq) {
            add(new Accounts.Hole(epoch, from, seq - 1));
        }
        if (seq < to) {
            add(new Accounts.Hole(epoch, seq + 1, to));
        }
        return true;
    }

    /** What is left, in the order of epochs and sequences. */
    List<Accounts.Hole> all() {
        List<Accounts.Hole> all = new ArrayList<>(count);
        new TreeMap<>(byEpoch).forEach((epoch, holes) -> holes.forEach((from, to) -> all.add(new Accounts.Hole(epoch,
                from, to))));
        return all;
    }
}
