package clovermill.controlplane.discovery;

import java.util.List;

/**
 * Estimates how long ago purges were made. Only their stamps, Unix time by the writer's clock, are known; the wall
 * clock of this machine is not used, since it may be stepped. Does no I/O and reads no clock.
 *
 * <p>Method: the offset of an event is its stamp less the monotonic time of its arrival. The offset is greatest for the
 * event that arrived with the least delay. An event whose offset is smaller by some amount is older by at least that
 * amount. An age above {@link #MAX_AGE_MICROS} may as well be a step of the writer's clock and counts as 0. An estimate
 * is therefore never more than the true age, unless the writer's clock is stepped back by less than that limit.
 */
final class PurgeAgeEstimator {

    /** The longest age that is accepted, in microseconds; purges usually arrive within 400 ms. */
    static final long MAX_AGE_MICROS = 500_000;
    /** The longest gap between two neighbours of the initial list that is accepted: a step may lie between them. */
    static final long MAX_INITIAL_GAP_MILLIS = 1_000;
    /** A slewed wall clock is off by 500 parts in a million at most; one part in this many is allowed for. */
    private static final long DRIFT_DIVISOR = 1_000;

    /** The greatest offset so far, and the monotonic time of the event that had it. */
    private long maxOffsetMicros;
    private long maxOffsetAtMicros;
    private boolean calibrated;

    /**
     * The least age of a purge that a poll has brought just now.
     *
     * @param stampUnixMillis the writer's stamp
     * @param nowMicros the monotonic clock
     * @param previousAnswerMicros the monotonic clock when the poll before was answered: the purge was made later
     * @return microseconds, 0 or more
     */
    long ageMicros(long stampUnixMillis, long nowMicros, long previousAnswerMicros) {
        long offsetMicros = stampUnixMillis * 1000 - nowMicros;
        long driftMicros = (nowMicros - maxOffsetAtMicros) / DRIFT_DIVISOR;
        long ageMicros = calibrated ? Math.max(0, maxOffsetMicros - driftMicros - offsetMicros) : 0;
        boolean accepted = ageMicros <= MAX_AGE_MICROS;
        if (!calibrated || !accepted || ageMicros == 0) {
            calibrated = true;
            maxOffsetMicros = offsetMicros;
            maxOffsetAtMicros = nowMicros;
        }
        return accepted ? Math.min(ageMicros, nowMicros - previousAnswerMicros) : 0;
    }

    /**
     * The least ages of the purges in the configuration, from the stamps of later purges in the same list. A gap counts
     * as {@link #MAX_INITIAL_GAP_MILLIS} at most, and as 0 where the stamps go back.
     *
     * @param stampsUnixMillis the writer's stamps in the order of the events
     * @return microseconds, 0 or more, in the same order; 0 for the last purge
     */
    static long[] initialAgesMicros(List<Long> stampsUnixMillis) {
        long[] elapsedMillis = new long[stampsUnixMillis.size()];
        long latestMillis = stampsUnixMillis.isEmpty() ? 0 : stampsUnixMillis.get(0);
        for (int i = 1; i < elapsedMillis.length; i++) {
            long gapMillis = Math.max(0, stampsUnixMillis.get(i) - latestMillis);
            elapsedMillis[i] = elapsedMillis[i - 1] + Math.min(MAX_INITIAL_GAP_MILLIS, gapMillis);
            latestMillis = Math.max(latestMillis, stampsUnixMillis.get(i));
        }
        long[] agesMicros = new long[elapsedMillis.length];
        for (int i = 0; i < agesMicros.length; i++) {
            agesMicros[i] = (elapsedMillis[elapsedMillis.length - 1] - elapsedMillis[i]) * 1000;
        }
        return agesMicros;
    }
}
