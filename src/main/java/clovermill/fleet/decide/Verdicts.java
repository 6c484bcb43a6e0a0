package clovermill.fleet.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * All verdicts that a director knows: a map of last writers by Lamport's clock (Shapiro et al., "Conflict-free
 * Replicated Data Types", 2011), so that any two directors that have heard of the same verdicts hold the same ones,
 * and merging one twice or late changes nothing. An undone verdict stays, so that a late copy of the first one cannot
 * bring it back.
 */
public final class Verdicts {

    /** Subjects that are kept; at the bound a further one is not taken, which the owner is told. */
    static final int MOST = 10_000;
    /** Versions beyond this are nobody's: a forged one must not be the last word for ever. */
    private static final long MOST_VERSION = 1L << 40;

    private final int self;
    private final TreeMap<String, Verdict> bySubject = new TreeMap<>();
    private long clock;
    private long digest;
    private String cursor = "";

    Verdicts(int self) {
        this.self = self;
    }

    /** Says something here; null where it holds already or there is no place for it. */
    Verdict say(String subject, boolean on) {
        Verdict known = bySubject.get(subject);
        if (known == null ? !on : known.on() == on) {
            return null;
        }
        Verdict said = new Verdict(subject, on, clock + 1, self);
        return merge(said) ? said : null;
    }

    /** Takes in what another said; true if it changed what holds here. */
    boolean merge(Verdict told) {
        Verdict known = bySubject.get(told.subject());
        if (told.version() < 1 || told.version() > MOST_VERSION || !told.beats(known)
                || known == null && bySubject.size() >= MOST) {
            return false;
        }
        clock = Math.max(clock, told.version());
        digest ^= told.mark() ^ (known == null ? 0 : known.mark());
        bySubject.put(told.subject(), told);
        return true;
    }

    /** The same for all who hold the same verdicts. */
    long digest() {
        return digest;
    }

    /** The next few, round and round: what a fellow who holds others is told. */
    List<Verdict> next(int count) {
        List<Verdict> some = new ArrayList<>(bySubject.tailMap(cursor, false).values().stream().limit(count).toList());
        bySubject.headMap(cursor, true).values().stream().limit(count - some.size()).forEach(some::add);
        cursor = some.isEmpty() ? "" : some.get(some.size() - 1).subject();
        return some;
    }

    /** What was said last of a subject, or null. */
    Verdict of(String subject) {
        return bySubject.get(subject);
    }
}
