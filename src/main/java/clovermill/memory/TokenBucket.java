package clovermill.memory;

/** A budget that grows with time, up to none left over, and may be overdrawn by what is spent at once. */
public final class TokenBucket {

    private double left;
    /** A debt in parts of a request, until it is known how much work one is. */
    private double owed;
    private long sinceUs;

    /** Begins anew with a debt of a part of one request. */
    public void begin(double part, long nowUs) {
        left = 0;
        owed = part;
        sinceUs = nowUs;
    }

    /** When it grew last. */
    public long sinceUs() {
        return sinceUs;
    }

    /**
     * Grows at so much a microsecond up to now; what is left. While nobody knows how much a request is, {@code
     * requestUs} is 0, and only who owes no more than the part {@code free} has something: many directors that have
     * just started would have a free request each else.
     */
    public double grow(double perUs, double requestUs, double free, long nowUs) {
        if (requestUs > 0) {
            left -= owed * requestUs;
            owed = 0;
        }
        left = Math.min(0, left + perUs * (nowUs - sinceUs));
        sinceUs = nowUs;
        return owed > free ? -1 : left;
    }

    /** Spends so much. */
    public void spend(double amount) {
        left -= amount;
    }
}
