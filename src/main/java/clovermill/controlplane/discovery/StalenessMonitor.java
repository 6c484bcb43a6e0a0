package clovermill.controlplane.discovery;

/**
 * Notes how long nothing has been heard, and when that is worth a line: once when it has lasted longer than
 * {@code limitUs}, and once when it ends. Does no I/O and reads no clock.
 */
final class StalenessMonitor {

    private final long limitUs;
    private long sinceUs;
    private boolean told;

    StalenessMonitor(long limitUs, long nowUs) {
        this.limitUs = limitUs;
        this.sinceUs = nowUs;
    }

    /** When to look next: as soon as what is allowed could be over. */
    long nextLookUs(long nowUs) {
        return nowUs < sinceUs + limitUs ? sinceUs + limitUs : nowUs + limitUs;
    }

    /** Whether the silence has just come to last too long. */
    boolean tooLong(long nowUs) {
        boolean now = !told && nowUs - sinceUs >= limitUs;
        told |= now;
        return now;
    }

    /** Something was heard; returns how long nothing had been if that was told, 0 otherwise. */
    long heard(long nowUs) {
        long lastedUs = told ? nowUs - sinceUs : 0;
        sinceUs = nowUs;
        told = false;
        return lastedUs;
    }
}
