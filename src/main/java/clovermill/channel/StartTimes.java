package clovermill.channel;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When members started, on the monotonic clock, for which only Unix stamps are known. A stamp is compared for equality
 * with the one told before, so that a start told again stays the same start; how long ago it was is read from it only
 * for
 * what is told at this process's own start. A start that a running process sees for the first time counts as made now.
 * Does no I/O and reads no clock.
 */
final class StartTimes {

    /** A wall clock that is wrong by this much or less at the process's start makes no member older than it is. */
    static final long WALL_MARGIN_MS = 10_000;
    /** Older than this by the wall clock alone proves nothing: the clock may have been stepped by an hour. */
    static final long WALL_BELIEVED_MS = 1_800_000;
    /** Starts that are remembered: more than any director has members; a forgotten one would count as made now. */
    private static final int MOST_KNOWN = 2_000;

    private record Start(long stampMs, long startedUs) {}

    private final Map<String, Start> starts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MOST_KNOWN;
        }
    };
    private final long processStartUs;
    private final long processStartMs;
    private long latestStampMs = Long.MIN_VALUE;

    /** {@code nowUs} and {@code unixMs} are both clocks as of the process's start; the wall clock is not read again. */
    StartTimes(long nowUs, long unixMs) {
        this.processStartUs = nowUs;
        this.processStartMs = unixMs;
    }

    /** A stamp of the same writer as that of the starts: those before it are at least as old as the difference. */
    void observeStamp(long stampMs, long nowUs) {
        if (stampMs <= unixMs(nowUs)) {
            latestStampMs = Math.max(latestStampMs, stampMs);
        }
    }

    /** When something happened that was found stamped at the process's start, by the wall clock of this machine. */
    long beforeStartUs(long stampMs, long nowUs) {
        return Math.max(1, nowUs - Math.max(0, ageByWallMs(stampMs, nowUs)) * 1000);
    }

    /** When a member started that a running process was told of just now; 0 for long ago. */
    long startedUs(String id, long stampMs, long nowUs) {
        return startedUs(id, stampMs, nowUs, 0);
    }

    /** As {@link #startedUs}, for what is told at the process's start and may have happened any time before. */
    long startedBeforeUs(String id, long stampMs, long nowUs) {
        return startedUs(id, stampMs, nowUs, ageAtStartMs(stampMs, nowUs));
    }

    private long startedUs(String id, long stampMs, long nowUs, long ageMs) {
        if (stampMs <= 0) {
            return 0;
        }
        Start known = starts.get(id);
        if (known == null || known.stampMs != stampMs) {
            known = new Start(stampMs, Math.max(1, nowUs - ageMs * 1000));
            starts.put(id, known);
        }
        return known.startedUs;
    }

    private long ageAtStartMs(long stampMs, long nowUs) {
        long byOthersMs = latestStampMs == Long.MIN_VALUE ? 0 : latestStampMs - stampMs;
        return Math.max(0, Math.max(ageByWallMs(stampMs, nowUs), byOthersMs));
    }

    private long ageByWallMs(long stampMs, long nowUs) {
        long ageMs = unixMs(nowUs) - stampMs;
        return ageMs <= WALL_BELIEVED_MS ? ageMs - WALL_MARGIN_MS : 0;
    }

    /** The wall clock as it would read now, had it not been stepped since the process's start. */
    private long unixMs(long nowUs) {
        return processStartMs + (nowUs - processStartUs) / 1000;
    }
}
