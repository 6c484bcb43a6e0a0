package clovermill.channel;

import java.util.List;

/**
 * How long ago purges were made, for which only the Unix stamps of whoever wrote them are known. The wall clock of this
 * machine is never read, since it may be stepped: the writer's stamps are set against the monotonic clock.
 *
 * <p>The least delay: a stamp less the monotonic reading at which it arrived is greatest for the event that arrived
 * soonest after it was made. An event that is that much less ahead is at least so much older. Ages up to
 * {@link #LONGEST_BELIEVED_US} are told so; a longer one may as well be a step of the writer's clock, and counts as
 * none:
 * the purge was made now. An age is therefore never more than the true one unless the writer's clock is stepped back by
 * less than that. Does no I/O and reads no clock.
 */
final class PurgeAges {

    /** Ages beyond this are not told from a stepped clock; a purge is usually told within 400 ms. */
    static final long LONGEST_BELIEVED_US = 500_000;
    /** Of the time between two neighbours in the list of the start so much is believed: a step may lie between them. */
    static final long GAP_BELIEVED_MS = 1_000;
    /** A wall clock that is slewed runs fast or slow by 500 parts in a million at most; twice that is allowed for. */
    private static final long DRIFT_PART = 1_000;

    /** By how much the writer's clock is ahead of the monotonic one at least, as of {@link #aheadAtUs}. */
    private long aheadUs;
    private long aheadAtUs;
    private boolean calibrated;

    /**
     * How long ago at least a purge was made that a poll has brought just now.
     *
     * @param madeMs the writer's stamp, in Unix milliseconds
     * @param nowUs the monotonic clock
     * @param answeredUs the monotonic clock when the poll before was answered: the purge came later
     * @return microseconds, 0 or more
     */
    long ageUs(long madeMs, long nowUs, long answeredUs) {
        long thisAheadUs = madeMs * 1000 - nowUs;
        long leastAheadUs = aheadUs - (nowUs - aheadAtUs) / DRIFT_PART;
        long ageUs = calibrated ? Math.max(0, leastAheadUs - thisAheadUs) : 0;
        boolean believed = ageUs <= LONGEST_BELIEVED_US;
        if (!calibrated || !believed || ageUs == 0) {
            calibrated = true;
            aheadUs = thisAheadUs;
            aheadAtUs = nowUs;
        }
        return believed ? Math.min(ageUs, nowUs - answeredUs) : 0;
    }

    /**
     * How long ago at least each of the purges was made that the configuration brings: as long as the writer's stamps
     * prove against later ones of the same list, each gap counted as {@link #GAP_BELIEVED_MS} at most and none
     * backwards.
     *
     * @param madeMs the writer's stamps in the order of the events, in Unix milliseconds
     * @return microseconds, 0 or more, in the same order; 0 for the last
     */
    static long[] agesAtStartUs(List<Long> madeMs) {
        long[] passedMs = new long[madeMs.size()];
        long latestMs = madeMs.isEmpty() ? 0 : madeMs.get(0);
        for (int i = 1; i < passedMs.length; i++) {
            long gapMs = Math.max(0, madeMs.get(i) - latestMs);
            passedMs[i] = passedMs[i - 1] + Math.min(GAP_BELIEVED_MS, gapMs);
            latestMs = Math.max(latestMs, madeMs.get(i));
        }
        long[] agesUs = new long[passedMs.length];
        for (int i = 0; i < agesUs.length; i++) {
            agesUs[i] = (passedMs[passedMs.length - 1] - passedMs[i]) * 1000;
        }
        return agesUs;
    }
}
