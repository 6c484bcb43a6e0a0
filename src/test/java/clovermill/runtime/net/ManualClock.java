package clovermill.runtime.net;

/**
 * A clock that tests set manually. Passing time advances both the monotonic and the wall clock; a step changes only the
 * wall clock, as an administrator or a time daemon may do on a running system.
 */
public final class ManualClock implements Clock {

    /**
     * The initial time of both clocks unless a test sets another: a time in late 2023 that is not a whole millisecond.
     */
    public static final long START_US = 1_700_000_000_000_900L;

    private long monotonicUs;
    private long wallAheadMs;

    /** Creates clocks that start at {@link #START_US}. */
    public ManualClock() {
        this(START_US);
    }

    /** Creates clocks that start at {@code startUs} microseconds. */
    public ManualClock(long startUs) {
        this.monotonicUs = startUs;
    }

    @Override
    public long micros() {
        return monotonicUs;
    }

    @Override
    public long unixMillis() {
        return trueMs() + wallAheadMs;
    }

    /**
     * Returns the time in milliseconds that the wall clock would have without steps: the clock of the party that writes
     * time stamps.
     */
    public long trueMs() {
        return monotonicUs / 1000;
    }

    /** Advances both clocks by {@code us} microseconds. */
    public void passUs(long us) {
        monotonicUs += us;
    }

    /** Advances both clocks by {@code ms} milliseconds. */
    public void passMs(long ms) {
        monotonicUs += ms * 1000;
    }

    /** Steps the wall clock by {@code ms} milliseconds, backward if negative. */
    public void stepMs(long ms) {
        wallAheadMs += ms;
    }
}
