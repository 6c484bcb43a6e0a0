package clovermill.runtime.net;

/**
 * A monotonic clock and a wall clock, injected so that tests can set them. The monotonic one measures spans, the wall
 * clock stamps what is shown, logged or exchanged; their readings are never mixed. {@code docs/design/clocks.md} lists
 * the users of each and what is assumed of time stamps.
 */
public interface Clock {

    /**
     * The monotonic clock in microseconds, for every span (deadline, window, wait, age); steps of the wall clock do not
     * affect it. Its zero is the Unix epoch as of the start of the process; a reading must not be compared with a time
     * stamp, since the wall clock may have been stepped.
     */
    long micros();

    /**
     * The wall clock in Unix milliseconds, for time stamps only. It may be stepped at any time, forward or back, by
     * seconds or hours: the difference of two readings is not a span, and that of a reading and a foreign stamp is not
     * an age.
     */
    long unixMillis();

    /** Returns the clocks of the system: {@link System#nanoTime} and {@link System#currentTimeMillis}. */
    static Clock system() {
        long epochUs = System.currentTimeMillis() * 1000;
        long startNanos = System.nanoTime();
        return new Clock() {
            @Override
            public long micros() {
                return epochUs + (System.nanoTime() - startNanos) / 1000;
            }

            @Override
            public long unixMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
