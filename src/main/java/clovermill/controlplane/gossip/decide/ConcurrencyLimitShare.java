package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on how many requests the whole fleet has open at once (a distributed semaphore). A
 * share is a number of permits, lent as in {@link RateLimitShare}; a request on a borrowed permit has to complete
 * before the loan expires. So all directors together never have more than the limit open, whichever messages are lost;
 * the open requests of a crashed director are closed when the caches detect the crash. Not thread-safe; times are
 * microseconds of the owner's clock.
 */
public final class ConcurrencyLimitShare implements LimitShare {

    /**
     * The parameters that are the same at all directors of a fleet.
     *
     * @param permits the limit of the fleet
     * @param directors the number of directors
     * @param termUs the term of a loan
     * @param drift the bound on clock drift, as a fraction
     */
    public record Parameters(int permits, int directors, long termUs, double drift) {

        /** Returns how long a lender counts a loan: longer than any borrower uses it by its own clock. */
        long lenderTermUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** Time constant of the exponentially decaying count of rejections, which adds to the shortfall. */
    private static final double REJECTED_US = 1_000_000;

    private final Parameters parameters;
    private final int ownPermits;
    private final int reservedPermits;
    private final LoanBook lent = new LoanBook();
    private final LoanBook borrowed = new LoanBook();
    private long startedUs;
    private int open;
    private double rejected;
    private long rejectedUs;

    /**
     * Creates a director's share. Permits that cannot be divided evenly go to the first directors.
     *
     * @param self the index of the director, from 0
     */
    public ConcurrencyLimitShare(Parameters parameters, int self, long nowUs) {
        this.parameters = parameters;
        this.ownPermits = parameters.permits() / parameters.directors()
                + (self < parameters.permits() % parameters.directors() ? 1 : 0);
        this.reservedPermits = (int) Math.ceil(RateLimitShare.RESERVED_PART * ownPermits);
        this.startedUs = nowUs;
        this.rejectedUs = nowUs;
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        expireLoansAndDecay(nowUs);
        if (open < availableOwnPermits(nowUs) || open < availableOwnPermits(nowUs) + borrowed.sumUntil(untilUs)) {
            open++;
            return true;
        }
        rejected++;
        return false;
    }

    @Override
    public void release() {
        open--;
    }

    @Override
    public double amount(long nowUs) {
        expireLoansAndDecay(nowUs);
        return availableOwnPermits(nowUs) + borrowed.sum();
    }

    @Override
    public double shortfall(long nowUs) {
        expireLoansAndDecay(nowUs);
        return borrowed.full() ? 0 : Math.ceil(Math.max(0, rejected + open - amount(nowUs) - 0.5));
    }

    @Override
    public double maxRequest() {
        return Math.max(1, parameters.permits() / (double) parameters.directors());
    }

    /** Lends whole permits that are currently free and not reserved. */
    @Override
    public double lend(double requested, long nowUs) {
        expireLoansAndDecay(nowUs);
        double free = Math.min(ownPermits - reservedPermits - lent.sum(), ownPermits - lent.sum() - open - rejected);
        boolean canLend = !justStarted(nowUs) && !lent.full();
        double granted = canLend ? Math.floor(Math.max(0, Math.min(requested, free))) : 0;
        if (granted > 0) {
            lent.add(granted, nowUs + parameters.lenderTermUs());
        }
        return granted;
    }

    @Override
    public void borrow(double granted, long requestedUs, long nowUs) {
        expireLoansAndDecay(nowUs);
        boolean expired = requestedUs + parameters.termUs() <= nowUs;
        if (!expired && granted >= 1 && granted <= parameters.permits() && !borrowed.full()) {
            borrowed.add(Math.floor(granted), requestedUs + parameters.termUs());
        }
    }

    @Override
    public void restart(long nowUs) {
        startedUs = nowUs;
    }

    /** Returns the own permits that are not lent; after a start only the reserved ones, as the rest may be lent. */
    private int availableOwnPermits(long nowUs) {
        return justStarted(nowUs) ? reservedPermits : ownPermits - (int) lent.sum();
    }

    /** Returns whether loans granted by an earlier process of this director may still be in use. */
    private boolean justStarted(long nowUs) {
        return nowUs - startedUs < parameters.lenderTermUs();
    }

    private void expireLoansAndDecay(long nowUs) {
        lent.expire(nowUs);
        borrowed.expire(nowUs);
        rejected *= Math.exp(-(nowUs - rejectedUs) / REJECTED_US);
        rejectedUs = nowUs;
    }
}
