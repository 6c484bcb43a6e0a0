package clovermill.runtime.net;

/** A deadline that its owner may set again any number of times; at most one is set at a time. */
public final class Timeout {

    private final Clock clock;
    private final Deadlines deadlines;
    private final Runnable expired;
    private Deadlines.Deadline deadline;
    private boolean closed;

    /** Creates a timeout; the sweep of {@code deadlines} runs {@code expired}, after the timeout is unset. */
    public Timeout(Clock clock, Deadlines deadlines, Runnable expired) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.expired = expired;
    }

    /** Sets it to expire {@code delayUs} from now, replacing an earlier setting. */
    public void setAfter(long delayUs) {
        setAt(clock.micros() + delayUs);
    }

    /** Sets it to expire at {@code atUs} of the monotonic clock, replacing an earlier setting. */
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

    /** Returns true if it is set and has not expired. */
    public boolean isSet() {
        return deadline != null;
    }

    /** Cancels the current setting, if any. */
    public void cancel() {
        deadlines.cancel(deadline);
        deadline = null;
    }

    /** Cancels it and ignores later settings, once its owner is closed. */
    public void close() {
        cancel();
        closed = true;
    }
}
