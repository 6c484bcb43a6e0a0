package clovermill.runtime.net;

import java.util.TreeSet;

/** Deadlines sorted by time; the event loop runs those that are due once a turn. */
public final class Deadlines {

    /** One deadline, as a handle by which its owner cancels it. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long atUs;
        private final long number;
        private final Runnable expired;

        private Deadline(long atUs, long number, Runnable expired) {
            this.atUs = atUs;
            this.number = number;
            this.expired = expired;
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final TreeSet<Deadline> sorted = new TreeSet<>();
    private long addedCount;

    /** Schedules {@code expired} for the first sweep at or after {@code atUs} of the monotonic clock. */
    public Deadline add(long atUs, Runnable expired) {
        Deadline deadline = new Deadline(atUs, addedCount++, expired);
        sorted.add(deadline);
        return deadline;
    }

    /** Cancels a deadline; null and an expired deadline are ignored. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            sorted.remove(deadline);
        }
    }

    /** Returns the time of the next deadline in microseconds, {@link Long#MAX_VALUE} if there is none. */
    public long nextUs() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().atUs;
    }

    /** Runs the deadlines that are due, in order; one added meanwhile runs in the next sweep at the earliest. */
    public void sweep(long nowUs) {
        long firstAddedMeanwhile = addedCount;
        while (!sorted.isEmpty() && sorted.first().atUs <= nowUs
                && sorted.first().number < firstAddedMeanwhile) {
            sorted.pollFirst().expired.run();
        }
    }

    /** Returns the number of deadlines set. */
    public int size() {
        return sorted.size();
    }
}
