package clovermill.memory;

/** A budget that grows with time, up to none left over, and may be overdrawn by what is spent at once. */
public final class Credit {

    private double left;
    private long sinceUs;

    /** Begins anew with a debt. */
    public void begin(double debt, long nowUs) {
        left = -debt;
        sinceUs = nowUs;
    }

    /** When it grew last. */
    public long sinceUs() {
        return sinceUs;
    }

    /** Grows at so much a microsecond up to now; what is left. */
    public double grow(double perUs, long nowUs) {
        left = Math.min(0, left + perUs * (nowUs - sinceUs));
        sinceUs = nowUs;
        return left;
    }

    /** Spends so much. */
    public void spend(double amount) {
        left -= amount;
    }
}
