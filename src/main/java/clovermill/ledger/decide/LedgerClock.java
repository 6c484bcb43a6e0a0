package clovermill.ledger.decide;

/**
 * The ledger clock, which gives records their times. It runs with the monotonic clock and follows the system clock
 * only within its drift. A step of the system clock is adopted only after it has lasted for {@code settleMs}; a step
 * that is corrected earlier has no effect. Not thread-safe.
 */
public final class LedgerClock {

    /** A step that was observed now, or that is adopted now. */
    public record Step(long stepMs, boolean adopted) {}

    /** The reciprocal of the maximum slew rate with which the system clock is followed (adjtime slews 1 in 2,000). */
    private static final int SLEW_DIVISOR = 200;

    private final long toleranceMs;
    private final long settleMs;
    private long offsetMs;
    private long stepMs;
    private long stepSinceMs;
    private boolean stepPending;
    private long lastObservedMs;

    /**
     * Starts at {@code wallMs}, the system clock. If that is more than {@code toleranceMs} before {@code lastMs}, the
     * last time used before the start, the difference is treated as a step observed now.
     */
    public LedgerClock(long toleranceMs, long settleMs, long lastMs, long wallMs, long monoMs) {
        this.toleranceMs = toleranceMs;
        this.settleMs = settleMs;
        this.offsetMs = (wallMs + toleranceMs < lastMs ? lastMs : wallMs) - monoMs;
        this.lastObservedMs = monoMs;
    }

    /** Returns the ledger time at a reading of the monotonic clock. */
    public long at(long monoMs) {
        return monoMs + offsetMs;
    }

    /** Compares the clocks; returns a step that is observed or adopted now, or null. */
    public Step observe(long wallMs, long monoMs) {
        long differenceMs = wallMs - at(monoMs);
        long elapsedMs = Math.max(0, monoMs - lastObservedMs);
        lastObservedMs = monoMs;
        if (Math.abs(differenceMs) <= toleranceMs) {
            stepPending = false;
            long maxSlewMs = elapsedMs / SLEW_DIVISOR;
            offsetMs += Math.max(-maxSlewMs, Math.min(maxSlewMs, differenceMs));
            return null;
        }
        if (!stepPending || Math.abs(differenceMs - stepMs) > toleranceMs) {
            stepPending = true;
            stepMs = differenceMs;
            stepSinceMs = monoMs;
            return new Step(differenceMs, false);
        }
        if (monoMs - stepSinceMs < settleMs) {
            return null;
        }
        stepPending = false;
        offsetMs += differenceMs;
        return new Step(differenceMs, true);
    }
}
