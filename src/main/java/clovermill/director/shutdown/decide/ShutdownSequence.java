package clovermill.director.shutdown.decide;

/**
 * Determines the phase of a graceful shutdown from the time since the signal. The platform opens new connections for up
 * to 0.4 s after the signal, sends requests on open ones for 0.2 s more, and kills the process no sooner than the
 * longest deadline of a request (at most 3 s) plus 0.7 s after it (the protocol page, "Figures"). Notified clients may
 * keep sending requests on a connection as long as it is open, so there may be no time at which all connections are
 * idle: each connection is closed when it is idle itself. Pure; times are microseconds of the monotonic clock.
 */
public final class ShutdownSequence {

    /** The treatment of clients; each phase includes the actions of those before it. */
    public enum Phase {
        /** Clients are notified of the shutdown; every request is still served. */
        NOTIFIED,
        /** New connections are not accepted; a connection is closed in a loop turn in which it has no open request. */
        CLOSING_IDLE,
        /** New requests are rejected at once, so that every connection becomes idle. */
        REJECTING,
        /** Every open request gets its final answer now. */
        ANSWERING_ALL,
        /** The remaining connections are closed: their clients do not read. */
        FORCE_CLOSING
    }

    /** Time from the longest deadline to the platform's kill. */
    private static final long KILL_MARGIN_US = 700_000;
    /** The platform caps deadlines at this value when it schedules the kill. */
    private static final long MAX_DEADLINE_US = 3_000_000;
    /** Time from the last answers to the platform's kill; half of it is for writing them. */
    private static final long ANSWERS_BEFORE_KILL_US = 400_000;
    private static final long FORCE_CLOSE_BEFORE_KILL_US = 200_000;
    /** Time for connections to become idle before requests are rejected. */
    private static final long IDLE_WAIT_US = 500_000;

    private final long signalUs;
    private final long closingIdleUs;
    private final long rejectingUs;
    private final long answeringAllUs;
    private final long forceClosingUs;

    /**
     * Computes the start of each phase.
     *
     * @param signalUs the time of the signal
     * @param longestDeadlineUs the longest time for which a request may be open
     * @param handover true if another process continues the service; clients then get most of the time to close their
     *     connections themselves, since a request that crosses a close is lost
     */
    public ShutdownSequence(long signalUs, long longestDeadlineUs, boolean handover) {
        this.signalUs = signalUs;
        long killUs = signalUs + Math.min(longestDeadlineUs, MAX_DEADLINE_US) + KILL_MARGIN_US;
        answeringAllUs = killUs - ANSWERS_BEFORE_KILL_US;
        forceClosingUs = killUs - FORCE_CLOSE_BEFORE_KILL_US;
        closingIdleUs = handover ? Math.max(signalUs, answeringAllUs - 2 * IDLE_WAIT_US)
                : Math.min(signalUs + KILL_MARGIN_US, answeringAllUs);
        rejectingUs = closingIdleUs + Math.min(IDLE_WAIT_US, (answeringAllUs - closingIdleUs) / 2);
    }

    /** Returns the phase at {@code nowUs}. */
    public Phase phase(long nowUs) {
        if (nowUs >= forceClosingUs) {
            return Phase.FORCE_CLOSING;
        }
        if (nowUs >= answeringAllUs) {
            return Phase.ANSWERING_ALL;
        }
        if (nowUs >= rejectingUs) {
            return Phase.REJECTING;
        }
        return nowUs >= closingIdleUs ? Phase.CLOSING_IDLE : Phase.NOTIFIED;
    }

    /** Returns the time from the signal to the last phase, in microseconds. */
    public long forceCloseDelayUs() {
        return forceClosingUs - signalUs;
    }
}
