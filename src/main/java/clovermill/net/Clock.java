package clovermill.net;

/**
 * The time, injected so that tests can set it. The two readings are never mixed: one measures spans, the other dates
 * what
 * is shown, logged or exchanged. Who reads which, and what is assumed of stamps, is in {@code docs/design/clocks.md}.
 */
public interface Clock {

    /**
     * The monotonic clock in microseconds, for every span (deadline, window, wait, age): it runs on whatever happens to
     * the wall clock. Its zero is the Unix epoch as of the process's start, so that a reading must not be compared
     * with a
     * stamp, which may be of a clock that was stepped since.
     */
    long micros();

    /**
     * The wall clock in Unix milliseconds, for stamps alone. It may be stepped by seconds or by hours, either way, at
     * any
     * time: the difference of two readings is no span, and that of a reading and a stamp of somebody else's no age.
     */
    long unixMillis();

    /** The clocks of the system: {@link System#nanoTime} and {@link System#currentTimeMillis}. */
    static Clock system() {
        long epochUs = System.currentTimeMillis() * 1000;
        long startNs = System.nanoTime();
        return new Clock() {
            @Override
            public long micros() {
                return epochUs + (System.nanoTime() - startNs) / 1000;
            }

            @Override
            public long unixMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
