package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.decide.Delivery;
import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.Subject;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Observes from outside, in true time, which events were acknowledged and what each director was delivered, without
 * regard to replicas, positions or proofs. Counts violations of the log's invariants. Not thread-safe.
 */
final class InvariantChecker {

    /** What identifies an event; not its time, which is moved to that of an earlier event of the subject. */
    private record Identity(Subject subject, String detail) {}

    /** An event that was acknowledged. */
    private record AcknowledgedEvent(Entry entry, long atUs) {}

    /** The state of one incarnation of a director. */
    private static final class Director {
        private final Map<Subject, Entry> latest = new HashMap<>();
        private TruncatedPrefix truncatedPrefix = TruncatedPrefix.NONE;
        private long last;
        /** Events of the list before this one are held; for speed only. */
        private int coveredBefore;
        private long reachableSinceUs;

        /** An earlier event about the same subject was applied too, so what it purged stays purged. */
        private void apply(Entry entry) {
            Event event = entry.event();
            Entry earlier = latest.get(event.subject());
            long createdAtMs = earlier == null ? event.createdAtMs()
                    : Math.max(event.createdAtMs(), earlier.event().createdAtMs());
            latest.put(event.subject(),
                    new Entry(entry.sequence(), new Event(event.subject(), createdAtMs, event.detail())));
        }

        private boolean holds(Entry entry) {
            Entry own = latest.get(entry.event().subject());
            return own != null && own.sequence() >= entry.sequence()
                    && own.event().createdAtMs() >= entry.event().createdAtMs()
                    || truncatedPrefix.sequence() >= entry.sequence()
                            && truncatedPrefix.createdAtMs() >= entry.event().createdAtMs();
        }
    }

    private final Director[] directors;
    private final long stalenessUs;
    private final long inForceUs;
    private final long catchUpUs;
    private final List<AcknowledgedEvent> known = new ArrayList<>();
    private final Map<Long, Identity> bySequence = new HashMap<>();
    private final Map<Identity, Long> sequences = new HashMap<>();
    private long misordered;
    private long duplicated;
    private long stale;
    private long late;
    private long lost;
    private long longestUs;
    private String firstViolation;

    /**
     * Checks so many directors.
     *
     * @param stalenessUs how long after its acknowledgement an event may be unknown where all is called proven
     * @param inForceUs how long after its acknowledgement it may be unknown where a director could be reached all along
     * @param catchUpUs how much longer that is while a director that can be reached again catches up
     */
    InvariantChecker(int count, long stalenessUs, long inForceUs, long catchUpUs) {
        this.catchUpUs = catchUpUs;
        directors = new Director[count];
        this.stalenessUs = stalenessUs;
        this.inForceUs = inForceUs;
        for (int i = 0; i < count; i++) {
            directors[i] = new Director();
        }
    }

    /** A director starts, with an empty copy of the log. */
    void started(int director, long nowUs) {
        directors[director] = new Director();
        directors[director].reachableSinceUs = nowUs;
    }

    /** A client's events were acknowledged with the numbers up to {@code last}; they are all different. */
    void acknowledged(List<Event> events, long last, long nowUs) {
        for (int i = 0; i < events.size(); i++) {
            Entry entry = new Entry(last - events.size() + 1 + i, events.get(i));
            known.add(new AcknowledgedEvent(entry, nowUs));
            recordSequence(entry, nowUs);
        }
    }

    /** Checks that an event has one number, and a number one event, whoever reports it. */
    private void recordSequence(Entry entry, long nowUs) {
        Identity identity = new Identity(entry.event().subject(), entry.event().detail());
        Identity other = bySequence.putIfAbsent(entry.sequence(), identity);
        Long earlierSequence = sequences.putIfAbsent(identity, entry.sequence());
        if (other != null && !other.equals(identity)
                || earlierSequence != null && earlierSequence != entry.sequence()) {
            duplicated++;
            note("twice: " + entry + " beside " + other + " and " + earlierSequence + " at " + nowUs);
        }
    }

    /** A delivery was made to a director. */
    void delivered(int number, Delivery delivery, long nowUs) {
        Director director = directors[number];
        if (delivery instanceof Delivery.Applied applied) {
            Entry entry = applied.entry();
            ordered(director, entry.sequence(), number, nowUs);
            recordSequence(entry, nowUs);
            director.apply(entry);
        } else if (delivery instanceof Delivery.Truncated truncated) {
            ordered(director, truncated.prefix().sequence(), number, nowUs);
            director.truncatedPrefix = truncated.prefix();
        } else {
            lost++; // no run loses a log
            note("another log at director " + number + " at " + nowUs);
        }
    }

    private void ordered(Director director, long sequence, int number, long nowUs) {
        if (sequence <= director.last) {
            misordered++;
            note("misordered: " + sequence + " after " + director.last + " at director " + number + " at " + nowUs);
        }
        director.last = sequence;
    }

    /**
     * Observes a director.
     *
     * @param proven whether it calls what it holds proven at this moment
     * @param reachable whether it is up and some replica could reach it and the others at this moment
     */
    void observe(int number, boolean proven, boolean reachable, long nowUs) {
        Director director = directors[number];
        if (!reachable) {
            director.reachableSinceUs = nowUs;
        }
        while (director.coveredBefore < known.size() && director.holds(known.get(director.coveredBefore).entry)) {
            AcknowledgedEvent held = known.get(director.coveredBefore++);
            if (director.reachableSinceUs <= held.atUs) {
                longestUs = Math.max(longestUs, nowUs - held.atUs);
            }
        }
        for (int i = director.coveredBefore; i < known.size(); i++) {
            AcknowledgedEvent each = known.get(i);
            boolean old = nowUs - each.atUs > stalenessUs;
            boolean returned = each.atUs < director.reachableSinceUs + catchUpUs;
            boolean overdue =
                    nowUs - Math.max(each.atUs, director.reachableSinceUs) > inForceUs + (returned ? catchUpUs : 0);
            if (!(proven && old) && !overdue) {
                break; // later ones are younger
            }
            if (!director.holds(each.entry)) {
                stale += proven && old ? 1 : 0;
                late += overdue ? 1 : 0;
                note((overdue ? "late: " : "stale: ") + each + " at director " + number + " at " + nowUs);
            }
        }
    }

    /** The end, after a calm: all directors hold all. */
    void end(long nowUs) {
        for (int i = 0; i < directors.length; i++) {
            for (AcknowledgedEvent each : known) {
                if (!directors[i].holds(each.entry)) {
                    lost++;
                    note("lost: " + each + " at director " + i + " at " + nowUs);
                }
            }
        }
    }

    private void note(String what) {
        firstViolation = firstViolation == null ? what : firstViolation;
    }

    int known() {
        return known.size();
    }

    long misordered() {
        return misordered;
    }

    long duplicated() {
        return duplicated;
    }

    long stale() {
        return stale;
    }

    long late() {
        return late;
    }

    long lost() {
        return lost;
    }

    /** The longest time from an acknowledgement until a director that was reachable all along had the event. */
    long longestUs() {
        return longestUs;
    }

    /** The first violation, or null. */
    String firstViolation() {
        return firstViolation;
    }
}
