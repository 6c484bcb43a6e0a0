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
    static final long WALL_CLOCK_MARGIN_MILLIS = 10_000;
    /** A longer age by the wall clock alone is not accepted: the clock may have been stepped by an hour. */
    static final long MAX_WALL_CLOCK_AGE_MILLIS = 1_800_000;
    /** Starts that are remembered, more than any director has endpoints; a forgotten one would count as made now. */
    private static final int MAX_STARTS = 2_000;

    private record Start(long stampUnixMillis, long startedMicros) {}

    private final Map<String, Start> starts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_STARTS;
        }
    };
    private final long processStartMicros;
    private final long processStartUnixMillis;
    private long latestStampUnixMillis = Long.MIN_VALUE;

    /**
     * No starts are known.
     *
     * @param nowMicros the monotonic clock at the start of this process
     * @param nowUnixMillis the wall clock at the same time; it is not read again, since it may be stepped
     */
    StartTimes(long nowMicros, long nowUnixMillis) {
        this.processStartMicros = nowMicros;
        this.processStartUnixMillis = nowUnixMillis;
    }

    /** Notes any stamp of the writer: a start with an earlier stamp is at least as old as the difference. */
    void observeStamp(long stampUnixMillis, long nowMicros) {
        if (stampUnixMillis <= unixMillis(nowMicros)) {
            latestStampUnixMillis = Math.max(latestStampUnixMillis, stampUnixMillis);
        }
    }

    /** The monotonic time, in microseconds, of an event stamped before the start of this process. */
    long beforeProcessStartMicros(long stampUnixMillis, long nowMicros) {
        return Math.max(1, nowMicros - Math.max(0, wallClockAgeMillis(stampUnixMillis, nowMicros)) * 1000);
    }

    /** When an endpoint started, in microseconds, where a new stamp has arrived just now; 0 for long ago. */
    long startedMicros(String id, long stampUnixMillis, long nowMicros) {
        return startedMicros(id, stampUnixMillis, nowMicros, 0);
    }

    /** As {@link #startedMicros}, for a stamp that may be of any time before the start of this process. */
    long initialStartedMicros(String id, long stampUnixMillis, long nowMicros) {
        return startedMicros(id, stampUnixMillis, nowMicros, initialAgeMillis(stampUnixMillis, nowMicros));
    }

    private long startedMicros(String id, long stampUnixMillis, long nowMicros, long ageMillis) {
        if (stampUnixMillis <= 0) {
            return 0;
        }
        Start start = starts.get(id);
        if (start == null || start.stampUnixMillis != stampUnixMillis) {
            start = new Start(stampUnixMillis, Math.max(1, nowMicros - ageMillis * 1000));
            starts.put(id, start);
        }
        return start.startedMicros;
    }

    private long initialAgeMillis(long stampUnixMillis, long nowMicros) {
        long byOtherStampsMillis = latestStampUnixMillis == Long.MIN_VALUE ? 0
                : latestStampUnixMillis - stampUnixMillis;
        return Math.max(0, Math.max(wallClockAgeMillis(stampUnixMillis, nowMicros), byOtherStampsMillis));
    }

    private long wallClockAgeMillis(long stampUnixMillis, long nowMicros) {
        long ageMillis = unixMillis(nowMicros) - stampUnixMillis;
        return ageMillis <= MAX_WALL_CLOCK_AGE_MILLIS ? ageMillis - WALL_CLOCK_MARGIN_MILLIS : 0;
    }

    /** The wall clock as it would read now, had it not been stepped since the start of this process. */
    private long unixMillis(long nowMicros) {
        return processStartUnixMillis + (nowMicros - processStartMicros) / 1000;
    }
}
