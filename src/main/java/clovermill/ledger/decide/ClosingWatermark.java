package clovermill.ledger.decide;

import java.util.OptionalLong;

/**
 * Decides when periods close: once the ledger time has passed their end by the lateness that is allowed for late
 * records. The watermark only increases, so no period is reopened; later records become corrections.
 */
public final class ClosingWatermark {

    private final long periodMs;
    private final long latenessMs;
    private long throughMs;

    /** Starts with all periods closed that end by {@code throughMs}. */
    public ClosingWatermark(long periodMs, long latenessMs, long throughMs) {
        this.periodMs = periodMs;
        this.latenessMs = latenessMs;
        this.throughMs = throughMs;
    }

    /** Returns the time through which periods close now, if any does, and advances the watermark to it. */
    public OptionalLong advance(long ledgerMs) {
        long reachedMs = Math.floorDiv(ledgerMs - latenessMs, periodMs) * periodMs;
        if (reachedMs <= throughMs) {
            return OptionalLong.empty();
        }
        throughMs = reachedMs;
        return OptionalLong.of(reachedMs);
    }

    /** Returns the time through which all periods are closed. */
    public long throughMs() {
        return throughMs;
    }
}
