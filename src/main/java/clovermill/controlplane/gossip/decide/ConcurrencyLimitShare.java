package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on how many requests the whole fleet has open at once (a distributed semaphore). A
 * share is a number of permits, lent as in {@link RateLimitShare}; a request on a borrowed permit has to end before the
 * loan does. So at every moment all directors together have at most the limit open, whichever messages are lost;
 * requests that a director had open when it died end when the caches notice. Not thread-safe; times are microseconds of
 * the owner's clock.
 */
public final class ConcurrencyLimitShare implements LimitShare {

    /** What all directors of a fleet have in common: permits, directors, the term of a loan, the bound on drift. */
    public record Parameters(int permits, int directors, long termUs, double drift) {

        /** How long a lender counts a loan: longer than any borrower uses it by its own clock. */
        long lenderTermUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** Time constant of the exponential average of refusals, which is the shortfall. */
    private static final double REFUSED_US = 1_000_000;

    private final Parameters parameters;
    private final int own;
    private final int reserved;
    private final LoanBook lent = new LoanBook();
    private final LoanBook borrowed = new LoanBook();
    private long startedUs;
    private int open;
    private double refused;
    private long refusedUs;

    /** The share of director {@code self}, from 0; permits that cannot be divided evenly go to the first directors. */
    public ConcurrencyLimitShare(Parameters parameters, int self, long nowUs) {
        this.parameters = parameters;
        this.own = parameters.permits() / parameters.directors()
                + (self < parameters.permits() % parameters.directors() ? 1 : 0);
        this.reserved = (int) Math.ceil(RateLimitShare.RESERVED_PART * own);
        this.startedUs = nowUs;
        this.refusedUs = nowUs;
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        update(nowUs);
        if (open < ownPermits(nowUs) || open < ownPermits(nowUs) + borrowed.sumUntil(untilUs)) {
            open++;
            return true;
        }
        refused++;
        return false;
    }

    @Override
    public void release() {
        open--;
    }

    @Override
    public double amount(long nowUs) {
        update(nowUs);
        return ownPermits(nowUs) + borrowed.sum();
    }

    @Override
    public double shortfall(long nowUs) {
        update(nowUs);
        return borrowed.full() ? 0 : Math.ceil(Math.max(0, refused + open - amount(nowUs) - 0.5));
    }

    @Override
    public double maxRequest() {
        return Math.max(1, parameters.permits() / (double) parameters.directors());
    }

    /** Lends whole permits that are free now and not reserved. */
    @Override
    public double lend(double requested, long nowUs) {
        update(nowUs);
        double free = Math.min(own - reserved - lent.sum(), own - lent.sum() - open - refused);
        boolean lends = !justStarted(nowUs) && !lent.full();
        double granted = lends ? Math.floor(Math.max(0, Math.min(requested, free))) : 0;
        if (granted > 0) {
            lent.add(granted, nowUs + parameters.lenderTermUs());
        }
        return granted;
    }

    @Override
    public void borrow(double granted, long requestedUs, long nowUs) {
        update(nowUs);
        boolean expired = requestedUs + parameters.termUs() <= nowUs;
        if (!expired && granted >= 1 && granted <= parameters.permits() && !borrowed.full()) {
            borrowed.add(Math.floor(granted), requestedUs + parameters.termUs());
        }
    }

    @Override
    public void restart(long nowUs) {
        startedUs = nowUs;
    }

    /** Own permits now; after a start only the reserved ones, as the rest may be lent. */
    private int ownPermits(long nowUs) {
        return justStarted(nowUs) ? reserved : own - (int) lent.sum();
    }

    /** Whether loans of the process before may still run, which this one does not know of. */
    private boolean justStarted(long nowUs) {
        return nowUs - startedUs < parameters.lenderTermUs();
    }

    private void update(long nowUs) {
        lent.expire(nowUs);
        borrowed.expire(nowUs);
        refused *= Math.exp(-(nowUs - refusedUs) / REFUSED_US);
        refusedUs = nowUs;
    }
}
