package clovermill.director.shutdown.decide;

/**
 * Decides which phase a graceful shutdown is in at each moment after the signal. The platform sends new connections for
 * up to 0.4 s after it, requests on open ones for 0.2 s more, and kills no sooner than the longest deadline of a
 * request (or 3 s) plus 0.7 s later (the protocol page, "Figures"). Clients that were notified may go on sending on a
 * connection for as long as it is open, so a moment at which nothing is open on any connection may never come: each
 * connection is closed at its own idle moment. Pure; times in microseconds of the monotonic clock.
 */
public final class ShutdownSequence {

    /** What the server does with its clients; each phase includes all that the one before did. */
    public enum Phase {
        /** Clients are notified of the shutdown; every request is still served. */
        NOTIFIED,
        /** Accepts no new connection, and closes each one in a turn in which no accepted request is open on it. */
        CLOSING_IDLE,
        /** Rejects new requests at once, so that every connection becomes idle. */
        REJECTING,
        /** Gives every open request its final answer now. */
        ANSWERING_ALL,
        /** Closes the connections that are left: their clients do not read. */
        CUTTING_OFF
    }

    /** From the end of the longest deadline to the platform's kill. */
    private static final long KILL_MARGIN_US = 700_000;
    /** The platform counts no deadline as longer than this. */
    private static final long MAX_DEADLINE_US = 3_000_000;
    /** From the last answers to the platform's kill: writing them may take half of it. */
    private static final long ANSWERS_BEFORE_KILL_US = 400_000;
    private static final long CUT_OFF_BEFORE_KILL_US = 200_000;
    /** How long a connection may take to become idle without rejections. */
    private static final long IDLE_WAIT_US = 500_000;

    private final long signalUs;
    private final long closingIdleUs;
    private final long rejectingUs;
    private final long answeringAllUs;
    private final long cuttingOffUs;

    /**
     * Plans the phases.
     *
     * @param signalUs when the signal came
     * @param longestDeadlineUs for how long a request may be open
     * @param handover whether another process takes over; clients then get most of the time to close their connections
     *     themselves, since a close that crosses a request loses it
     */
    public ShutdownSequence(long signalUs, long longestDeadlineUs, boolean handover) {
        this.signalUs = signalUs;
        long killUs = signalUs + Math.min(longestDeadlineUs, MAX_DEADLINE_US) + KILL_MARGIN_US;
        answeringAllUs = killUs - ANSWERS_BEFORE_KILL_US;
        cuttingOffUs = killUs - CUT_OFF_BEFORE_KILL_US;
        closingIdleUs = handover ? Math.max(signalUs, answeringAllUs - 2 * IDLE_WAIT_US)
                : Math.min(signalUs + KILL_MARGIN_US, answeringAllUs);
        rejectingUs = closingIdleUs + Math.min(IDLE_WAIT_US, (answeringAllUs - closingIdleUs) / 2);
    }

    /** The phase at this moment. */
    public Phase phase(long nowUs) {
        if (nowUs >= cuttingOffUs) {
            return Phase.CUTTING_OFF;
        }
        if (nowUs >= answeringAllUs) {
            return Phase.ANSWERING_ALL;
        }
        if (nowUs >= rejectingUs) {
            return Phase.REJECTING;
        }
        return nowUs >= closingIdleUs ? Phase.CLOSING_IDLE : Phase.NOTIFIED;
    }

    /** From the signal to the last phase, in microseconds. */
    public long cutOffDelayUs() {
        return cuttingOffUs - signalUs;
    }
}
