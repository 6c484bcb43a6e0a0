package clovermill.controlplane.discovery;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The start times of endpoints on the monotonic clock. Only timestamps, Unix time by the publisher's clock, are known.
 *
 * <p>A timestamp that equals the last one of its endpoint denotes the same start. A new timestamp that arrives while
 * this process runs counts as a start made now; an age is derived from the timestamp only for starts that are known at
 * the start of this process. Does no I/O and reads no clock.
 */
final class StartTimes {

    /** The maximum error of the wall clock at this process's start with which no endpoint counts as too old. */
    static final long WALL_CLOCK_MARGIN_MS = 10_000;
    /** The maximum age that is accepted from the wall clock alone: the clock may have been stepped by an hour. */
    static final long MAX_WALL_CLOCK_AGE_MS = 1_800_000;
    /** The maximum number of remembered starts of endpoints that the list has dropped; an evicted one counts as new. */
    private static final int MAX_DROPPED_STARTS = 2_000;

    private record Start(long timestampUnixMs, long startedUs) {}

    /** The starts of the listed endpoints. */
    private final Map<String, Start> starts = new HashMap<>();
    /** The starts of endpoints that the list has dropped, the one dropped first is the first evicted. */
    private final Map<String, Start> droppedStarts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_DROPPED_STARTS;
        }
    };
    private final long processStartUs;
    private final long processStartUnixMs;
    private long latestTimestampUnixMs = Long.MIN_VALUE;

    /**
     * Creates an instance that knows no starts.
     *
     * @param nowUs the monotonic time at the start of this process
     * @param nowUnixMs the wall clock at the same time; it is not read again, since it may be stepped
     */
    StartTimes(long nowUs, long nowUnixMs) {
        this.processStartUs = nowUs;
        this.processStartUnixMs = nowUnixMs;
    }

    /** Records a timestamp of the publisher: a start with an earlier timestamp is at least as old as the difference. */
    void observeTimestamp(long timestampUnixMs, long nowUs) {
        if (timestampUnixMs <= wallClockMs(nowUs)) {
            latestTimestampUnixMs = Math.max(latestTimestampUnixMs, timestampUnixMs);
        }
    }

    /** Returns the monotonic time, in microseconds, of an event with a timestamp before the start of this process. */
    long beforeProcessStartUs(long timestampUnixMs, long nowUs) {
        return Math.max(1, nowUs - Math.max(0, wallClockAgeMs(timestampUnixMs, nowUs)) * 1000);
    }

    /** Returns when an endpoint started, in microseconds, if a new timestamp has just arrived; 0 for long ago. */
    long startedUs(String id, long timestampUnixMs, long nowUs) {
        return startedUs(id, timestampUnixMs, nowUs, 0);
    }

    /** Like {@link #startedUs}, for a timestamp that may be of any time before the start of this process. */
    long initialStartedUs(String id, long timestampUnixMs, long nowUs) {
        return startedUs(id, timestampUnixMs, nowUs, initialAgeMs(timestampUnixMs, nowUs));
    }

    private long startedUs(String id, long timestampUnixMs, long nowUs, long ageMs) {
        if (timestampUnixMs <= 0) {
            return 0;
        }
        Start dropped = droppedStarts.remove(id);
        Start start = starts.getOrDefault(id, dropped);
        if (start == null || start.timestampUnixMs != timestampUnixMs) {
            start = new Start(timestampUnixMs, Math.max(1, nowUs - ageMs * 1000));
        }
        starts.put(id, start);
        return start.startedUs;
    }

    /** Records that the list has dropped an endpoint, which may be listed again. */
    void drop(String id) {
        Start start = starts.remove(id);
        if (start != null) {
            droppedStarts.put(id, start);
        }
    }

    private long initialAgeMs(long timestampUnixMs, long nowUs) {
        long byOtherTimestampsMs = latestTimestampUnixMs == Long.MIN_VALUE ? 0
                : latestTimestampUnixMs - timestampUnixMs;
        return Math.max(0, Math.max(wallClockAgeMs(timestampUnixMs, nowUs), byOtherTimestampsMs));
    }

    private long wallClockAgeMs(long timestampUnixMs, long nowUs) {
        long ageMs = wallClockMs(nowUs) - timestampUnixMs;
        return ageMs <= MAX_WALL_CLOCK_AGE_MS ? ageMs - WALL_CLOCK_MARGIN_MS : 0;
    }

    /** Returns the time of the wall clock as if it had not been stepped since the start of this process. */
    private long wallClockMs(long nowUs) {
        return processStartUnixMs + (nowUs - processStartUs) / 1000;
    }
}
