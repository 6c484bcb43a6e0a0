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
 * Counts violations of the log's invariants. It observes from the outside, in true time, which events were acknowledged
 * and which were delivered to each director, independently of replicas, positions and proofs. Not thread-safe.
 */
final class InvariantChecker {

    /** The identity of an event, without its time, which can be raised to that of an earlier event of the subject. */
    private record Identity(Subject subject, String detail) {}

    /** An event that was acknowledged. */
    private record AcknowledgedEvent(Entry entry, long atUs) {}

    /** The state of one incarnation of a director. */
    private static final class Director {
        private final Map<Subject, Entry> latest = new HashMap<>();
        private TruncatedPrefix truncatedPrefix = TruncatedPrefix.NONE;
        private long lastSequence;
        /** Number of acknowledged events, from the first on, that are known to be contained; an optimization. */
        private int containedCount;
        private long reachableSinceUs;

        /** Applies an event. An earlier event of the same subject stays in force, so the later of both times counts. */
        private void apply(Entry entry) {
            Event event = entry.event();
            Entry earlier = latest.get(event.subject());
            long createdAtMs = earlier == null ? event.createdAtMs()
                    : Math.max(event.createdAtMs(), earlier.event().createdAtMs());
            latest.put(event.subject(),
                    new Entry(entry.sequence(), new Event(event.subject(), createdAtMs, event.detail())));
        }

        private boolean contains(Entry entry) {
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
    private final List<AcknowledgedEvent> acknowledgedEvents = new ArrayList<>();
    private final Map<Long, Identity> identities = new HashMap<>();
    private final Map<Identity, Long> sequences = new HashMap<>();
    private long misordered;
    private long duplicated;
    private long stale;
    private long late;
    private long lost;
    private long maxDeliveryUs;
    private String firstViolation;

    /**
     * Creates a checker.
     *
     * @param count number of directors
     * @param stalenessUs time after its acknowledgement for which a director with a proven copy may lack an event
     * @param inForceUs time after its acknowledgement for which a director that was reachable throughout may lack it
     * @param catchUpUs additional time for a director that catches up after it was unreachable
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

    /** Records the start of a director, with an empty copy of the log. */
    void started(int director, long nowUs) {
        directors[director] = new Director();
        directors[director].reachableSinceUs = nowUs;
    }

    /** Records that a client's events, all distinct, were acknowledged with sequence numbers up to {@code last}. */
    void acknowledged(List<Event> events, long last, long nowUs) {
        for (int i = 0; i < events.size(); i++) {
            Entry entry = new Entry(last - events.size() + 1 + i, events.get(i));
            acknowledgedEvents.add(new AcknowledgedEvent(entry, nowUs));
            recordSequence(entry, nowUs);
        }
    }

    /** Checks that each event has only one sequence number, and each sequence number only one event. */
    private void recordSequence(Entry entry, long nowUs) {
        Identity identity = new Identity(entry.event().subject(), entry.event().detail());
        Identity other = identities.putIfAbsent(entry.sequence(), identity);
        Long earlierSequence = sequences.putIfAbsent(identity, entry.sequence());
        if (other != null && !other.equals(identity)
                || earlierSequence != null && earlierSequence != entry.sequence()) {
            duplicated++;
            recordViolation(
                    "duplicate: " + entry + " conflicts with " + other + " and " + earlierSequence + " at " + nowUs);
        }
    }

    /** Records a delivery to a director. */
    void delivered(int number, Delivery delivery, long nowUs) {
        Director director = directors[number];
        if (delivery instanceof Delivery.Applied applied) {
            Entry entry = applied.entry();
            checkOrder(director, entry.sequence(), number, nowUs);
            recordSequence(entry, nowUs);
            director.apply(entry);
        } else if (delivery instanceof Delivery.Truncated truncated) {
            checkOrder(director, truncated.prefix().sequence(), number, nowUs);
            director.truncatedPrefix = truncated.prefix();
        } else {
            lost++; // the log is never replaced in a simulation
            recordViolation("log replaced at director " + number + " at " + nowUs);
        }
    }

    private void checkOrder(Director director, long sequence, int number, long nowUs) {
        if (sequence <= director.lastSequence) {
            misordered++;
            recordViolation("misordered: " + sequence + " after " + director.lastSequence + " at director " + number
                    + " at " + nowUs);
        }
        director.lastSequence = sequence;
    }

    /**
     * Observes a director.
     *
     * @param proven whether its copy is proven current at this moment
     * @param reachable whether it is up and reaches replicas that can elect a leader at this moment
     */
    void observe(int number, boolean proven, boolean reachable, long nowUs) {
        Director director = directors[number];
        if (!reachable) {
            director.reachableSinceUs = nowUs;
        }
        while (director.containedCount < acknowledgedEvents.size()
                && director.contains(acknowledgedEvents.get(director.containedCount).entry)) {
            AcknowledgedEvent event = acknowledgedEvents.get(director.containedCount++);
            if (director.reachableSinceUs <= event.atUs) {
                maxDeliveryUs = Math.max(maxDeliveryUs, nowUs - event.atUs);
            }
        }
        for (int i = director.containedCount; i < acknowledgedEvents.size(); i++) {
            AcknowledgedEvent each = acknowledgedEvents.get(i);
            boolean pastStaleness = nowUs - each.atUs > stalenessUs;
            boolean catchingUp = each.atUs < director.reachableSinceUs + catchUpUs;
            boolean overdue =
                    nowUs - Math.max(each.atUs, director.reachableSinceUs) > inForceUs + (catchingUp ? catchUpUs : 0);
            if (!(proven && pastStaleness) && !overdue) {
                break; // later ones are younger
            }
            if (!director.contains(each.entry)) {
                stale += proven && pastStaleness ? 1 : 0;
                late += overdue ? 1 : 0;
                recordViolation((overdue ? "late: " : "stale: ") + each + " at director " + number + " at " + nowUs);
            }
        }
    }

    /** Checks at the end, after a fault-free phase, that all directors contain all acknowledged events. */
    void checkAllDelivered(long nowUs) {
        for (int i = 0; i < directors.length; i++) {
            for (AcknowledgedEvent each : acknowledgedEvents) {
                if (!directors[i].contains(each.entry)) {
                    lost++;
                    recordViolation("lost: " + each + " at director " + i + " at " + nowUs);
                }
            }
        }
    }

    private void recordViolation(String description) {
        firstViolation = firstViolation == null ? description : firstViolation;
    }

    int acknowledgedCount() {
        return acknowledgedEvents.size();
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

    /** Returns the longest time from acknowledgement to delivery at a director that was reachable throughout. */
    long maxDeliveryUs() {
        return maxDeliveryUs;
    }

    /** Returns a description of the first violation, or null. */
    String firstViolation() {
        return firstViolation;
    }
}
