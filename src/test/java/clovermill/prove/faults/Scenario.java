package clovermill.prove.faults;

/** A fault scenario: which calls fail, and how the wall clock and the disk behave while a director serves. */
enum Scenario {

    /** Wall clock an hour ahead, then an hour behind the true time, with events before, between and after. */
    CLOCK_FORWARD_THEN_BACK,
    /** Wall clock an hour behind, then an hour ahead of the true time, with the same events. */
    CLOCK_BACK_THEN_FORWARD,
    /** Wall clock steps of a few seconds, forward and back. */
    CLOCK_BY_SECONDS,
    /** Five in 1,000 socket calls fail; reads, writes and waits include EINTR and short transfers. */
    CALLS_FAIL_OR_ARE_INTERRUPTED,
    /** Five in 1,000 socket calls fail, none with EINTR. */
    CALLS_FAIL,
    /** One in ten socket calls fails, over several starts. */
    STARTS,
    /** Files fail with ENOSPC or EIO while an operator disables a cache; the director is killed and restarted. */
    DISK,
    /** Two rules of {@link ErrnoRules}. */
    ERRORS,
    /** No faults, to check the checkers themselves; not selected by any seed. */
    UNDISTURBED;

    private static final int ERROR_SEEDS_IN_TEN = 3;
    private static final int FIRST_ERROR_SEED = 7;
    private static final String OWN_ERRORS = "ECONNABORTED|ENFILE|ENOBUFS";
    private static final String DIAL_ERRORS = "EADDRNOTAVAIL|ENETUNREACH|ENOBUFS|ETIMEDOUT|EHOSTUNREACH";
    private static final String BREAKS = "ETIMEDOUT|EHOSTUNREACH|ECONNRESET";

    /** Returns the scenario of a seed: of ten consecutive seeds three run {@link #ERRORS}, seven the others once. */
    static Scenario forSeed(int seed) {
        int place = Math.floorMod(seed, 10);
        return place < FIRST_ERROR_SEED ? values()[place] : ERRORS;
    }

    /** Returns the socket fault rules in the library's syntax; empty for none. */
    String calls(int seed) {
        return switch (this) {
            case CALLS_FAIL_OR_ARE_INTERRUPTED -> calls("0.005", "|EINTR") + ",epoll_wait=EINTR@0.005,read=EINTR|SHORT|"
                    + BREAKS + "@0.005,write=EINTR|SHORT|" + BREAKS + "@0.005";
            case CALLS_FAIL -> calls("0.005", "") + ",read=SHORT|" + BREAKS + "@0.005,write=SHORT|" + BREAKS
                    + "@0.005";
            case STARTS -> "accept=ENFILE|EMFILE|ENOBUFS@0.1,connect=ENOBUFS@0.1,socket=ENFILE|EMFILE|ENOBUFS@0.1,"
                    + "epoll_create=ENFILE|EMFILE@0.1,eventfd=ENFILE|EMFILE@0.1";
            case ERRORS -> ErrnoRules.rulePair(Math.floorDiv(seed, 10) * ERROR_SEEDS_IN_TEN + Math.floorMod(seed, 10)
                    - FIRST_ERROR_SEED);
            default -> "";
        };
    }

    private static String calls(String rate, String more) {
        return "accept=" + OWN_ERRORS + more + "@" + rate + ",connect=" + DIAL_ERRORS + more + "@" + rate
                + ",socket=ENFILE|EMFILE|ENOBUFS@" + rate;
    }

    /** Returns how far the wall clock is ahead after its first and second step, in milliseconds; null for no steps. */
    long[] clockOffsetsMs(int seed) {
        long seconds = 2_000 + 1_000L * Math.floorMod(seed, 9);
        return switch (this) {
            case CLOCK_FORWARD_THEN_BACK -> new long[] {3_600_000, -3_600_000};
            case CLOCK_BACK_THEN_FORWARD -> new long[] {-3_600_000, 3_600_000};
            case CLOCK_BY_SECONDS -> new long[] {seconds, -seconds};
            default -> null;
        };
    }

    /** Returns how often a director is started. */
    int starts() {
        return this == STARTS ? 3 : 1;
    }
}
