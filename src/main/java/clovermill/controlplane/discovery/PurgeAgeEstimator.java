package clovermill.controlplane.discovery;

import java.util.List;

/**
 * An estimator of the ages of purges. Only their timestamps, Unix time by the publisher's clock, are known; the wall
 * clock of this machine is not used, since it may be stepped. Does no I/O and reads no clock.
 *
 * <p>Method: the offset of an event is its timestamp less the monotonic time of its arrival. The offset is greatest for
 * the event that arrived with the least delay. An event whose offset is smaller by some amount is older by at least
 * that amount. An age above {@link #MAX_AGE_US} may also result from a step of the publisher's clock and counts as 0.
 * An estimate is therefore never more than the true age, unless the publisher's clock is stepped back by less than that
 * limit.
 */
final class PurgeAgeEstimator {

    /** The maximum accepted age, in microseconds; purges usually arrive within 400 ms. */
    static final long MAX_AGE_US = 500_000;
    /** The maximum accepted gap between consecutive purges of the initial list: a clock step may lie between them. */
    static final long MAX_INITIAL_GAP_MS = 1_000;
    /** The allowance for clock drift, one part in this many; a slewed wall clock drifts by at most 500 ppm. */
    private static final long DRIFT_DIVISOR = 1_000;

    /** The greatest offset so far, and the monotonic time of the event that had it. */
    private long maxOffsetUs;
    private long maxOffsetAtUs;
    private boolean calibrated;

    /**
     * Returns the minimum age of a purge that a poll has just received.
     *
     * @param timestampUnixMs the publisher's timestamp
     * @param nowUs the monotonic time
     * @param previousAnswerUs the monotonic time when the previous poll was answered: the purge is later
     * @return microseconds, 0 or more
     */
    long ageUs(long timestampUnixMs, long nowUs, long previousAnswerUs) {
        long offsetUs = timestampUnixMs * 1000 - nowUs;
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
     * Returns the minimum ages of the purges in the configuration, from the timestamps of later purges in the same
     * list. A gap counts as {@link #MAX_INITIAL_GAP_MS} at most, and as 0 where the timestamps decrease.
     *
     * @param timestampsUnixMs the publisher's timestamps in the order of the events
     * @return microseconds, 0 or more, in the same order; 0 for the last purge
     */
    static long[] initialAgesUs(List<Long> timestampsUnixMs) {
        long[] elapsedMs = new long[timestampsUnixMs.size()];
        long latestMs = timestampsUnixMs.isEmpty() ? 0 : timestampsUnixMs.get(0);
        for (int i = 1; i < elapsedMs.length; i++) {
            long gapMs = Math.max(0, timestampsUnixMs.get(i) - latestMs);
            elapsedMs[i] = elapsedMs[i - 1] + Math.min(MAX_INITIAL_GAP_MS, gapMs);
            latestMs = Math.max(latestMs, timestampsUnixMs.get(i));
        }
        long[] agesUs = new long[elapsedMs.length];
        for (int i = 0; i < agesUs.length; i++) {
            agesUs[i] = (elapsedMs[elapsedMs.length - 1] - elapsedMs[i]) * 1000;
        }
        return agesUs;
    }
}
