package clovermill.controlplane.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Start times of endpoints on the monotonic clock. Only stamps, Unix time by the writer's clock, are known.
 *
 * <p>A stamp that equals the last one of its endpoint is the same start. A new stamp that arrives while this process
 * runs counts as a start made now; only for what is known at this process's own start an age is derived from the stamp.
 * Does no I/O and reads no clock.
 */
final class StartTimes {

    /** By how much the wall clock may be wrong at this process's start without any endpoint counting as too old. */
    static final long WALL_CLOCK_MARGIN_MS = 10_000;
    /** A longer age by the wall clock alone is not accepted: the clock may have been stepped by an hour. */
    static final long MAX_WALL_CLOCK_AGE_MS = 1_800_000;
    /** Starts that are remembered, more than any director has endpoints; a forgotten one would count as made now. */
    private static final int MAX_STARTS = 2_000;

    private record Start(long stampUnixMs, long startedUs) {}

    private final Map<String, Start> starts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_STARTS;
        }
    };
    private final long processStartUs;
    private final long processStartUnixMs;
    private long latestStampUnixMs = Long.MIN_VALUE;

    /**
     * No starts are known.
     *
     * @param nowUs the monotonic clock at the start of this process
     * @param nowUnixMs the wall clock at the same time; it is not read again, since it may be stepped
     */
    StartTimes(long nowUs, long nowUnixMs) {
        this.processStartUs = nowUs;
        this.processStartUnixMs = nowUnixMs;
    }

    /** Notes any stamp of the writer: a start with an earlier stamp is at least as old as the difference. */
    void observeStamp(long stampUnixMs, long nowUs) {
        if (stampUnixMs <= unixMillis(nowUs)) {
            latestStampUnixMs = Math.max(latestStampUnixMs, stampUnixMs);
        }
    }

    /** The monotonic time, in microseconds, of an event stamped before the start of this process. */
    long beforeProcessStartUs(long stampUnixMs, long nowUs) {
        return Math.max(1, nowUs - Math.max(0, wallClockAgeMs(stampUnixMs, nowUs)) * 1000);
    }

    /** When an endpoint started, in microseconds, where a new stamp has arrived just now; 0 for long ago. */
    long startedUs(String id, long stampUnixMs, long nowUs) {
        return startedUs(id, stampUnixMs, nowUs, 0);
    }

    /** As {@link #startedUs}, for a stamp that may be of any time before the start of this process. */
    long initialStartedUs(String id, long stampUnixMs, long nowUs) {
        return startedUs(id, stampUnixMs, nowUs, initialAgeMs(stampUnixMs, nowUs));
    }

    private long startedUs(String id, long stampUnixMs, long nowUs, long ageMs) {
        if (stampUnixMs <= 0) {
            return 0;
        }
        Start start = starts.get(id);
        if (start == null || start.stampUnixMs != stampUnixMs) {
            start = new Start(stampUnixMs, Math.max(1, nowUs - ageMs * 1000));
            starts.put(id, start);
        }
        return start.startedUs;
    }

    private long initialAgeMs(long stampUnixMs, long nowUs) {
        long byOtherStampsMs = latestStampUnixMs == Long.MIN_VALUE ? 0
                : latestStampUnixMs - stampUnixMs;
        return Math.max(0, Math.max(wallClockAgeMs(stampUnixMs, nowUs), byOtherStampsMs));
    }

    private long wallClockAgeMs(long stampUnixMs, long nowUs) {
        long ageMs = unixMillis(nowUs) - stampUnixMs;
        return ageMs <= MAX_WALL_CLOCK_AGE_MS ? ageMs - WALL_CLOCK_MARGIN_MS : 0;
    }

    /** The wall clock as it would read now, had it not been stepped since the start of this process. */
    private long unixMillis(long nowUs) {
        return processStartUnixMs + (nowUs - processStartUs) / 1000;
    }
}
