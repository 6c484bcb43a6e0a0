package clovermill.memory;

/**
 * A circuit breaker (Nygard, "Release It!", 2007): opens when the average of failures is too high, lets one trial
 * through when its wait is over, and waits twice as long each time that fails.
 */
public final class CircuitBreaker {

    /** First wait until a trial, doubled up to the longest. */
    public static final long TRIAL_US = 1_000_000;
    public static final long LONGEST_TRIAL_US = 8_000_000;
    /** Share of the latest outcome in the average: about the last four count. */
    public static final double NEWS = 0.3;
    /** It opens when the average of failures passes this: two failures in a row do. */
    private static final double OPENS = 0.5;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double failures;
    private boolean open;
    private boolean lost;
    private long trialUs;
    private long nextTrialUs;
    private long answeredUs = NEVER;
    private long brokeUs = NEVER;

    /** Whether nothing but trials is to go through. */
    public boolean open() {
        return open;
    }

    /** Whether it is closed or a trial is due. */
    public boolean lets(long nowUs) {
        return !open || nowUs >= nextTrialUs;
    }

    /** Whether every failure of late weighs fully: nothing at all came back. */
    public boolean dead() {
        return failures >= 1;
    }

    /** A failure of such a weight, up to 1; {@code gone} if not even a connection came up. True if it opens by that. */
    public boolean failed(double weight, boolean gone, long nowUs) {
        lost |= gone;
        failures += weight * (1 - failures);
        if (failures <= OPENS) {
            return false;
        }
        boolean opens = !open && trialUs == 0;
        open = true;
        trialUs = Math.min(LONGEST_TRIAL_US, Math.max(TRIAL_US, 2 * trialUs));
        nextTrialUs = nowUs + trialUs;
        return opens;
    }

    /** A success; true if it closes by that after not even a connection had come up. */
    public boolean succeeded(long nowUs) {
        answeredUs = nowUs;
        boolean back = open && lost;
        failures = open ? OPENS / 2 : failures * (1 - NEWS);
        if (!open && nowUs - nextTrialUs > LONGEST_TRIAL_US) {
            trialUs = 0;
        }
        open = false;
        lost = false;
        return back;
    }

    /** Whether there was a success after that moment. */
    public boolean answeredAfter(long us) {
        return answeredUs > us;
    }

    /** A connection broke, with all that was out on it; true if none did so a moment ago. */
    public boolean broke(long nowUs, long momentUs) {
        boolean anew = nowUs - brokeUs >= momentUs;
        brokeUs = anew ? nowUs : brokeUs;
        return anew;
    }

    /** Something goes through: while it is open, the one trial for a while. */
    public void sent(long nowUs) {
        nextTrialUs = open ? nowUs + trialUs : nextTrialUs;
    }

    /** What was known of failures is void. */
    public void forget() {
        open = false;
        failures = 0;
        trialUs = 0;
    }
}
