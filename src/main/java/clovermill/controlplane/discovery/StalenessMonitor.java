package clovermill.controlplane.discovery;

/**
 * Measures how long the command channel has not answered, and reports each period without answers twice: once when it
 * exceeds a limit, and once when it ends. Does no I/O and reads no clock; all times are of the monotonic clock.
 */
final class StalenessMonitor {

    private final long limitMicros;
    private long lastAnswerMicros;
    private boolean reported;

    StalenessMonitor(long limitMicros, long nowMicros) {
        this.limitMicros = limitMicros;
        this.lastAnswerMicros = nowMicros;
    }

    /** When {@link #becameStale} is to be called next. */
    long nextCheckMicros(long nowMicros) {
        long staleAtMicros = lastAnswerMicros + limitMicros;
        return nowMicros < staleAtMicros ? staleAtMicros : nowMicros + limitMicros;
    }

    /** Whether the limit is exceeded and that was not reported yet. */
    boolean becameStale(long nowMicros) {
        boolean stale = !reported && nowMicros - lastAnswerMicros >= limitMicros;
        reported |= stale;
        return stale;
    }

    /** Notes an answer; returns how long there had been none if that was reported as stale, else 0. */
    long answered(long nowMicros) {
        long staleMicros = reported ? nowMicros - lastAnswerMicros : 0;
        lastAnswerMicros = nowMicros;
        reported = false;
        return staleMicros;
    }
}
