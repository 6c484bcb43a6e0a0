package clovermill.runtime.net;

/** A deadline of one owner, who sets it again and again; one is set at a time. */
public final class Timeout {

    private final Clock clock;
    private final Deadlines deadlines;
    private final Runnable expired;
    private Deadlines.Deadline deadline;
    private boolean closed;

    /** {@code expired} is run by the sweep of the deadlines, when this is no longer set. */
    public Timeout(Clock clock, Deadlines deadlines, Runnable expired) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.expired = expired;
    }

    /** Has it expire so long from now, in place of a time that was set before. */
    public void setAfter(long delayUs) {
        setAt(clock.micros() + delayUs);
    }

    /** Has it expire at that time of the clock, in place of one that was set before. */
    public void setAt(long atUs) {
        cancel();
        if (!closed) {
            deadline = deadlines.add(atUs, this::expire);
        }
    }

    private void expire() {
        deadline = null;
        expired.run();
    }

    /** Whether it is still to expire. */
    public boolean isSet() {
        return deadline != null;
    }

    /** Withdraws what is set; nothing set is let pass. */
    public void cancel() {
        deadlines.cancel(deadline);
        deadline = null;
    }

    /** Cancels, and lets nothing be set any more: its owner has ended. */
    public void close() {
        cancel();
        closed = true;
    }
}
