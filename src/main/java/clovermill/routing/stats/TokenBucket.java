package clovermill.routing.stats;

/**
 * A token bucket of no burst that may be overdrawn: it refills with time up to a balance of 0, a request is admitted
 * while the balance is not negative, and its cost is taken at once. Tokens are microseconds of service time. Not
 * thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class TokenBucket {

    /** Tokens left, at most 0. */
    private double balanceUs;
    /** An initial debt in requests, until the cost of a request is known. */
    private double debtRequests;
    private long lastRefillUs;

    /** Empties the bucket and starts with a debt of so many requests, a fraction. */
    public void reset(double requests, long nowUs) {
        balanceUs = 0;
        debtRequests = requests;
        lastRefillUs = nowUs;
    }

    /** When it was refilled last. */
    public long lastRefillUs() {
        return lastRefillUs;
    }

    /**
     * Refills the bucket up to now and returns the balance. While the cost of a request is not known, only a bucket
     * whose debt is no more than {@code freeRequests} has a balance that admits: otherwise each of many directors that
     * have just started would have a free request.
     *
     * @param ratePerUs tokens a microsecond
     * @param requestUs the cost of one request in tokens; 0 if it is not known
     * @param freeRequests the debt, in requests, that may stand while the cost is not known
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

    /** Takes the cost of a request, in tokens; the balance may become negative. */
    public void consume(double costUs) {
        balanceUs -= costUs;
    }
}
