package clovermill.runtime.net;

/**
 * A clock that tests set by hand. Time that passes moves both of its parts; a step moves the wall clock alone, as an
 * administrator or a time daemon does to a running system.
 */
public final class ManualClock implements Clock {

    /**
     * What both parts read at first unless a test says otherwise: some moment of late 2023, with broken milliseconds.
     */
    public static final long START_US = 1_700_000_000_000_900L;

    private long monotonicUs;
    private long wallAheadMs;

    /** Both parts read {@link #START_US}. */
    public ManualClock() {
        this(START_US);
    }

    /** Both parts read {@code startUs} microseconds. */
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
     * What the wall clock would read had it never been stepped, in milliseconds: the clock of whoever writes stamps.
     */
    public long trueMs() {
        return monotonicUs / 1000;
    }

    /** Lets real time pass, in microseconds. */
    public void passUs(long us) {
        monotonicUs += us;
    }

    /** Lets real time pass, in milliseconds. */
    public void passMs(long ms) {
        monotonicUs += ms * 1000;
    }

    /** Steps the wall clock by so many milliseconds, back where negative. */
    public void stepMs(long ms) {
        wallAheadMs += ms;
    }
}
