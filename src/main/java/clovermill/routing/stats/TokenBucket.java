package clovermill.routing.stats;

/**
 * A token bucket without burst that may be overdrawn: it refills with time up to a balance of 0, a request is admitted
 * while the balance is not negative, and its cost is charged at once. Tokens are microseconds of service time. Not
 * thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class TokenBucket {

    /** Current balance, at most 0. */
    private double balanceUs;
    /** Initial debt in requests, until the cost of a request is known. */
    private double debtRequests;
    private long lastRefillUs;

    /** Empties the bucket and starts with a debt of a fraction of a request. */
    public void reset(double requests, long nowUs) {
        balanceUs = 0;
        debtRequests = requests;
        lastRefillUs = nowUs;
    }

    /** Returns the time of the last refill. */
    public long lastRefillUs() {
        return lastRefillUs;
    }

    /**
     * Refills the bucket up to now and returns the balance. While the cost of a request is not known, the balance is
     * negative if the debt exceeds {@code freeRequests}: otherwise each of many directors that have just started would
     * send a request.
     *
     * @param ratePerUs tokens per microsecond
     * @param requestUs the cost of one request in tokens; 0 if it is not known
     * @param freeRequests the debt, in requests, that is tolerated while the cost is not known
     */
    public double refill(double ratePerUs, double requestUs, double freeRequests, long nowUs) {
        if (requestUs > 0) {
            balanceUs -= debtRequests * requestUs;
            debtRequests = 0;
        }
        balanceUs = Math.min(0, balanceUs + ratePerUs * (nowUs - lastRefillUs));
        lastRefillUs = nowUs;
        return debtRequests > freeRequests ? -1 : balanceUs;
    }

    /** Charges the cost of a request, in tokens; the balance may become negative. */
    public void consume(double costUs) {
        balanceUs -= costUs;
    }
}
