package clovermill.runtime.net;

import java.util.TreeSet;

/** Every deadline of the process, sorted; the event loop sweeps it once a turn. */
public final class Deadlines {

    /** One deadline; its owner cancels it when it no longer matters. */
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
    private long count;

    /** Has {@code expired} called by the first sweep at or past {@code atUs}. */
    public Deadline add(long atUs, Runnable expired) {
        Deadline deadline = new Deadline(atUs, count++, expired);
        sorted.add(deadline);
        return deadline;
    }

    /** Withdraws a deadline; null and those that have expired are let pass. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            sorted.remove(deadline);
        }
    }

    /** The time of the next deadline, {@link Long#MAX_VALUE} if there is none. */
    public long nextUs() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().atUs;
    }

    /** Calls those that are due, in order; one that is added meanwhile waits for the next sweep. */
    public void sweep(long nowUs) {
        long last = count;
        while (!sorted.isEmpty() && sorted.first().atUs <= nowUs && sorted.first().number < last) {
            sorted.pollFirst().expired.run();
        }
    }

    /** How many are set. */
    public int size() {
        return sorted.size();
    }
}
