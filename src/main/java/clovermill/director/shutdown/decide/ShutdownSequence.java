package clovermill.director.shutdown.decide;

/**
 * Decides how far a planned end has come at each moment after the signal. The platform sends new connections for up to
 * 0.4 s after it, requests on open ones for 0.2 s more, and kills no sooner than the longest deadline of a request (or
 * 3 s) and 0.7 s later (the protocol page, "Figures"). Clients that were told to go may go on sending on a connection
 * for as long as it is open, so that a moment with nothing open anywhere may never come: each connection is brought to
 * its own. Pure; times in microseconds.
 */
public final class ShutdownSequence {

    /** What a front does with its clients; each step does all that the one before did. */
    public enum Step {
        /** Clients are told to go; all that comes is served. */
        TOLD,
        /** Takes no new connection, and ends each one in a turn in which nothing taken is open on it. */
        ENDS_IDLE,
        /** New requests are turned away at once, so that every connection comes to such a turn. */
        TURNS_AWAY,
        /** What is open gets its final answer now. */
        ANSWERS_ALL,
        /** What is left belongs to clients that do not read: it is cut off. */
        CUTS_OFF
    }

    private static final long LINGER_US = 700_000;
    private static final long MOST_OPEN_US = 3_000_000;
    /** From the last answers to the platform's kill: 0.4 s, of which writing them may take half. */
    private static final long ANSWERS_BEFORE_KILL_US = 400_000;
    private static final long CUT_BEFORE_KILL_US = 200_000;
    /** How long a connection may take to come to an idle turn by itself. */
    private static final long BY_ITSELF_US = 500_000;

    private final long sinceUs;
    private final long endsIdleUs;
    private final long turnsAwayUs;
    private final long answersAllUs;
    private final long cutsOffUs;

    /**
     * From a signal at {@code sinceUs}; requests are open for up to {@code longestUs}. Where another process takes
     * over, clients get most of the time to go by themselves: a close that crosses a request costs there.
     */
    public ShutdownSequence(long sinceUs, long longestUs, boolean handsOver) {
        this.sinceUs = sinceUs;
        long killUs = sinceUs + Math.min(longestUs, MOST_OPEN_US) + LINGER_US;
        answersAllUs = killUs - ANSWERS_BEFORE_KILL_US;
        cutsOffUs = killUs - CUT_BEFORE_KILL_US;
        endsIdleUs = handsOver ? Math.max(sinceUs, answersAllUs - 2 * BY_ITSELF_US)
                : Math.min(sinceUs + LINGER_US, answersAllUs);
        turnsAwayUs = endsIdleUs + Math.min(BY_ITSELF_US, (answersAllUs - endsIdleUs) / 2);
    }

    /** The step at this moment. */
    public Step at(long nowUs) {
        return nowUs >= cutsOffUs ? Step.CUTS_OFF : nowUs >= answersAllUs ? Step.ANSWERS_ALL
                : nowUs >= turnsAwayUs ? Step.TURNS_AWAY : nowUs >= endsIdleUs ? Step.ENDS_IDLE : Step.TOLD;
    }

    /** How long the whole end may take, from the signal. */
    public long mostUs() {
        return cutsOffUs - sinceUs;
    }
}
