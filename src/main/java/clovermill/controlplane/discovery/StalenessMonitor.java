package clovermill.controlplane.discovery;

/**
 * A monitor of the time since the last answer of the command channel. Reports each period without answers twice: when
 * it exceeds a limit, and at its end. Does no I/O and reads no clock; all times are of the monotonic clock.
 */
final class StalenessMonitor {

    private final long limitUs;
    private long lastAnswerUs;
    private boolean reported;

    StalenessMonitor(long limitUs, long nowUs) {
        this.limitUs = limitUs;
        this.lastAnswerUs = nowUs;
    }

    /** Returns when {@link #becameStale} is due next. */
    long nextCheckUs(long nowUs) {
        long staleAtUs = lastAnswerUs + limitUs;
        return nowUs < staleAtUs ? staleAtUs : nowUs + limitUs;
    }

    /** Returns true once for each period without answers that exceeds the limit. */
    boolean becameStale(long nowUs) {
        boolean stale = !reported && nowUs - lastAnswerUs >= limitUs;
        reported |= stale;
        return stale;
    }

    /** Records an answer; returns the length of the period without answers if it was reported as stale, else 0. */
    long answered(long nowUs) {
        long staleUs = reported ? nowUs - lastAnswerUs : 0;
        lastAnswerUs = nowUs;
        reported = false;
        return staleUs;
    }
}
