package clovermill.controlplane.discovery;

import java.util.List;

/**
 * Estimates how long ago purges were made. Only their stamps, Unix time by the writer's clock, are known; the wall
 * clock of this machine is not used, since it may be stepped. Does no I/O and reads no clock.
 *
 * <p>Method: the offset of an event is its stamp less the monotonic time of its arrival. The offset is greatest for the
 * event that arrived with the least delay. An event whose offset is smaller by some amount is older by at least that
 * amount. An age above {@link #MAX_AGE_US} may as well be a step of the writer's clock and counts as 0. An estimate
 * is therefore never more than the true age, unless the writer's clock is stepped back by less than that limit.
 */
final class PurgeAgeEstimator {

    /** The longest age that is accepted, in microseconds; purges usually arrive within 400 ms. */
    static final long MAX_AGE_US = 500_000;
    /** The longest gap between two neighbours of the initial list that is accepted: a step may lie between them. */
    static final long MAX_INITIAL_GAP_MS = 1_000;
    /** A slewed wall clock is off by 500 parts in a million at most; one part in this many is allowed for. */
    private static final long DRIFT_DIVISOR = 1_000;

    /** The greatest offset so far, and the monotonic time of the event that had it. */
    private long maxOffsetUs;
    private long maxOffsetAtUs;
    private boolean calibrated;

    /**
     * The least age of a purge that a poll has brought just now.
     *
     * @param stampUnixMs the writer's stamp
     * @param nowUs the monotonic clock
     * @param previousAnswerUs the monotonic clock when the poll before was answered: the purge was made later
     * @return microseconds, 0 or more
     */
    long ageUs(long stampUnixMs, long nowUs, long previousAnswerUs) {
        long offsetUs = stampUnixMs * 1000 - nowUs;
        long driftUs = (nowUs - maxOffsetAtUs) / DRIFT_DIVISOR;
        long ageUs = calibrated ? Math.max(0, maxOffsetUs - driftUs - offsetUs) : 0;
        boolean accepted = ageUs <= MAX_AGE_US;
        if (!calibrated || !accepted || ageUs == 0) {
            calibrated = true;
            maxOffsetUs = offsetUs;
            maxOffsetAtUs = nowUs;
        }
        return accepted ? Math.min(ageUs, nowUs - previousAnswerUs) : 0;
    }

    /**
     * The least ages of the purges in the configuration, from the stamps of later purges in the same list. A gap counts
     * as {@link #MAX_INITIAL_GAP_MS} at most, and as 0 where the stamps go back.
     *
     * @param stampsUnixMs the writer's stamps in the order of the events
     * @return microseconds, 0 or more, in the same order; 0 for the last purge
     */
    static long[] initialAgesUs(List<Long> stampsUnixMs) {
        long[] elapsedMs = new long[stampsUnixMs.size()];
        long latestMs = stampsUnixMs.isEmpty() ? 0 : stampsUnixMs.get(0);
        for (int i = 1; i < elapsedMs.length; i++) {
            long gapMs = Math.max(0, stampsUnixMs.get(i) - latestMs);
            elapsedMs[i] = elapsedMs[i - 1] + Math.min(MAX_INITIAL_GAP_MS, gapMs);
            latestMs = Math.max(latestMs, stampsUnixMs.get(i));
        }
        long[] agesUs = new long[elapsedMs.length];
        for (int i = 0; i < agesUs.length; i++) {
            agesUs[i] = (elapsedMs[elapsedMs.length - 1] - elapsedMs[i]) * 1000;
        }
        return agesUs;
    }
}
