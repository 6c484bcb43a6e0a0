package clovermill.controlplane.discovery;

/**
 * Measures how long the command channel has not answered, and reports each period without answers twice: once when it
 * exceeds a limit, and once when it ends. Does no I/O and reads no clock; all times are of the monotonic clock.
 */
final class StalenessMonitor {

    private final long limitUs;
    private long lastAnswerUs;
    private boolean reported;

    StalenessMonitor(long limitUs, long nowUs) {
        this.limitUs = limitUs;
        this.lastAnswerUs = nowUs;
    }

    /** When {@link #becameStale} is to be called next. */
    long nextCheckUs(long nowUs) {
        long staleAtUs = lastAnswerUs + limitUs;
        return nowUs < staleAtUs ? staleAtUs : nowUs + limitUs;
    }

    /** Whether the limit is exceeded and that was not reported yet. */
    boolean becameStale(long nowUs) {
        boolean stale = !reported && nowUs - lastAnswerUs >= limitUs;
        reported |= stale;
        return stale;
    }

    /** Notes an answer; returns how long there had been none if that was reported as stale, else 0. */
    long answered(long nowUs) {
        long staleUs = reported ? nowUs - lastAnswerUs : 0;
        lastAnswerUs = nowUs;
        reported = false;
        return staleUs;
    }
}
