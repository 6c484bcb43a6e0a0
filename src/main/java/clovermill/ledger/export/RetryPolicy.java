package clovermill.ledger.export;

import java.util.random.RandomGenerator;

/**
 * Classifies the responses of a receiver and decides when to retry: after delays that double from {@link
 * #INITIAL_DELAY_MS} to {@link #MAX_DELAY_MS}, each drawn between half of it and the whole, so that exporters that
 * were disconnected together do not reconnect together; or after the delay in the response.
 */
final class RetryPolicy {

    static final long INITIAL_DELAY_MS = 200;
    static final long MAX_DELAY_MS = 30_000;

    /** The meaning of a response. */
    enum Verdict { STORED, RETRY, CONFLICT, REJECTED }

    private final int maxAttempts;
    private final RandomGenerator random;
    private int attempts;

    /** Allows at most {@code maxAttempts} attempts for a batch. */
    RetryPolicy(int maxAttempts, RandomGenerator random) {
        this.maxAttempts = maxAttempts;
        this.random = random;
    }

    /**
     * Classifies a response by its status (RFC 9110); 0 stands for no response, which may also be a lost
     * acknowledgement.
     */
    static Verdict verdict(int status) {
        if (status >= 200 && status < 300) {
            return Verdict.STORED;
        }
        if (status == 409) {
            return Verdict.CONFLICT;
        }
        return status == 0 || status >= 500 || status == 408 || status == 425 || status == 429 ? Verdict.RETRY
                : Verdict.REJECTED;
    }

    /**
     * Returns after how many milliseconds to retry, or -1 after the last attempt. {@code retryAfterMs} is the delay
     * in the response, or 0.
     */
    long nextDelayMs(long retryAfterMs) {
        if (++attempts >= maxAttempts) {
            return -1;
        }
        long delayMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(20, attempts - 1));
        return retryAfterMs > 0 ? Math.min(retryAfterMs, MAX_DELAY_MS) : delayMs / 2 + random.nextLong(delayMs / 2 + 1);
    }
}
