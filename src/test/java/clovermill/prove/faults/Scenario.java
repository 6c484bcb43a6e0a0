package clovermill.prove.faults;

/** What is played: which calls fail, and how the wall clock and the disk behave while a director serves. */
enum Scenario {

    /** The wall clock an hour ahead, then an hour behind the true time, with events before, between and after. */
    CLOCK_FORWARD_THEN_BACK,
    /** The same the other way round. */
    CLOCK_BACK_THEN_FORWARD,
    /** Steps of some seconds, either way. */
    CLOCK_BY_SECONDS,
    /** Five in 1,000 calls on sockets fail, reads, writes and waits with EINTR and short transfers among them. */
    CALLS_FAIL_OR_ARE_INTERRUPTED,
    /** Five in 1,000 calls on sockets fail, none by EINTR. */
    CALLS_FAIL,
    /** One in ten calls on sockets fails, at several starts. */
    STARTS,
    /** Files fail by ENOSPC or EIO while an operator takes a cache out; the director is killed and started again. */
    DISK,
    /** Two rows of {@link ErrorRows}. */
    ERRORS,
    /** No fault at all, by which the judges themselves are tested; no seed stands for it. */
    UNDISTURBED;

    private static final int ERROR_SEEDS_IN_TEN = 3;
    private static final int FIRST_ERROR_SEED = 7;
    private static final String OWN_ERRORS = "ECONNABORTED|ENFILE|ENOBUFS";
    private static final String DIAL_ERRORS = "EADDRNOTAVAIL|ENETUNREACH|ENOBUFS|ETIMEDOUT|EHOSTUNREACH";
    private static final String BREAKS = "ETIMEDOUT|EHOSTUNREACH|ECONNRESET";

    /** Of ten seeds in turn, seven play the other scenarios once each and three play rows of errors. */
    static Scenario of(int seed) {
        int place = Math.floorMod(seed, 10);
        return place < FIRST_ERROR_SEED ? values()[place] : ERRORS;
    }

    /** The rules by which calls on sockets fail, in the library's words; empty for none. */
    String calls(int seed) {
        return switch (this) {
            case CALLS_FAIL_OR_ARE_INTERRUPTED -> calls("0.005", "|EINTR") + ",epoll_wait=EINTR@0.005,read=EINTR|SHORT|"
                    + BREAKS + "@0.005,write=EINTR|SHORT|" + BREAKS + "@0.005";
            case CALLS_FAIL -> calls("0.005", "") + ",read=SHORT|" + BREAKS + "@0.005,write=SHORT|" + BREAKS
                    + "@0.005";
            case STARTS -> "accept=ENFILE|EMFILE|ENOBUFS@0.1,connect=ENOBUFS@0.1,socket=ENFILE|EMFILE|ENOBUFS@0.1,"
                    + "epoll_create=ENFILE|EMFILE@0.1,eventfd=ENFILE|EMFILE@0.1";
            case ERRORS -> ErrorRows.pair(Math.floorDiv(seed, 10) * ERROR_SEEDS_IN_TEN + Math.floorMod(seed, 10)
                    - FIRST_ERROR_SEED);
            default -> "";
        };
    }

    private static String calls(String rate, String more) {
        return "accept=" + OWN_ERRORS + more + "@" + rate + ",connect=" + DIAL_ERRORS + more + "@" + rate
                + ",socket=ENFILE|EMFILE|ENOBUFS@" + rate;
    }

    /** How far the wall clock is ahead after its first and its second step, in milliseconds; null: no steps. */
    long[] clockOffsetsMs(int seed) {
        long seconds = 2_000 + 1_000L * Math.floorMod(seed, 9);
        return switch (this) {
            case CLOCK_FORWARD_THEN_BACK -> new long[] {3_600_000, -3_600_000};
            case CLOCK_BACK_THEN_FORWARD -> new long[] {-3_600_000, 3_600_000};
            case CLOCK_BY_SECONDS -> new long[] {seconds, -seconds};
            default -> null;
        };
    }

    /** How often a director is started. */
    int starts() {
        return this == STARTS ? 3 : 1;
    }
}
