package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on requests per second: an equal part of the limit, minus the parts lent to peers,
 * plus the parts borrowed from them, each under a lease of a fixed term.
 *
 * <p>Leases (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism", 1989) without a server: the borrower
 * counts the term from when it <em>requested</em> the loan, the lender from when it <em>granted</em> it, and a little
 * longer for clock drift. So the sum of all directors' shares never exceeds the limit, whichever messages are lost,
 * delayed or duplicated and however the network is partitioned, and no two clocks are compared. A director that starts
 * does not know what it had lent, so it withholds the whole lendable part for one term.
 *
 * <p>Each share fills a token bucket. In any period of w seconds all n directors together admit at most
 * {@code limit x (w + burst) + n}: see {@link #maxAdmitted}. Not thread-safe; times are microseconds of the owner's
 * clock.
 */
public final class RateLimitShare implements LimitShare {

    /**
     * The parameters that are the same at all directors of a fleet.
     *
     * @param perSecond the limit of the fleet, in requests per second
     * @param directors the number of directors
     * @param burstS the capacity of a bucket, in seconds of its fill rate
     * @param termUs the term of a loan
     * @param drift the bound on clock drift, as a fraction
     */
    public record Parameters(double perSecond, int directors, double burstS, long termUs, double drift) {

        /** Returns each director's equal part, in requests per second. */
        double share() {
            return perSecond / directors;
        }

        /** Returns how long a lender counts a loan: longer than any borrower uses it by its own clock. */
        long lenderTermUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** Fraction of its share that a director never lends, for requests while it is isolated or has just started. */
    static final double RESERVED_PART = 0.2;
    /** The rate that a director keeps for itself or requests, as a multiple of its recent demand. */
    private static final double DEMAND_MARGIN = 1.25;
    /** Time constant of the exponentially weighted average of demand. */
    private static final double DEMAND_US = 1_000_000;
    private static final double SECOND_US = 1e6;

    private final Parameters parameters;
    private long startedUs;
    private final LoanBook lent = new LoanBook();
    private final LoanBook borrowed = new LoanBook();
    private double tokens;
    private long filledUs;
    private double demand;
    private long demandUs;

    /** Creates a share that withholds its lendable part for one term, as an earlier process may have lent it. */
    public RateLimitShare(Parameters parameters, long nowUs) {
        this.parameters = parameters;
        this.startedUs = nowUs;
        this.filledUs = nowUs;
        this.demandUs = nowUs;
    }

    @Override
    public void restart(long nowUs) {
        fill(nowUs);
        startedUs = nowUs;
        capTokens(nowUs);
    }

    /**
     * Returns the maximum number of requests that all directors together admit in any period of {@code seconds},
     * partitions and restarts included.
     */
    public static double maxAdmitted(Parameters parameters, double seconds) {
        return parameters.perSecond() * (seconds + parameters.burstS()) + parameters.directors();
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        return admit(nowUs);
    }

    /** Does nothing, as a rate does not count open requests. */
    @Override
    public void release() {}

    @Override
    public double amount(long nowUs) {
        return rate(nowUs);
    }

    @Override
    public double maxRequest() {
        return parameters.share();
    }

    /** Admits one more request; returns false if it is rejected. */
    public boolean admit(long nowUs) {
        decayDemand(nowUs);
        demand += SECOND_US / DEMAND_US;
        fill(nowUs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the rate at which requests may be admitted now, in requests per second. */
    public double rate(long nowUs) {
        fill(nowUs);
        return currentRate(nowUs);
    }

    @Override
    public double shortfall(long nowUs) {
        double missing = DEMAND_MARGIN * decayDemand(nowUs) - rate(nowUs);
        return borrowed.full() ? 0 : Math.max(0, missing);
    }

    /** Returns the rate that could be lent now, in requests per second. */
    public double spare(long nowUs) {
        fill(nowUs);
        double lendable = (1 - RESERVED_PART) * parameters.share() - lent.sum();
        double unused = parameters.share() - lent.sum() - DEMAND_MARGIN * decayDemand(nowUs);
        return justStarted(nowUs) || lent.full() ? 0 : Math.max(0, Math.min(lendable, unused));
    }

    @Override
    public double lend(double requested, long nowUs) {
        double granted = requested > 0 ? Math.min(requested, spare(nowUs)) : 0;
        if (granted > 0) {
            lent.add(granted, nowUs + parameters.lenderTermUs());
            capTokens(nowUs);
        }
        return granted;
    }

    @Override
    public void borrow(double granted, long requestedUs, long nowUs) {
        fill(nowUs);
        boolean expired = requestedUs + parameters.termUs() <= nowUs;
        if (!expired && granted > 0 && granted <= parameters.perSecond() && !borrowed.full()) {
            borrowed.add(granted, requestedUs + parameters.termUs());
        }
    }

    /** Updates the average of demand to {@code nowUs} and returns it, in requests per second. */
    private double decayDemand(long nowUs) {
        demand *= Math.exp(-(nowUs - demandUs) / DEMAND_US);
        demandUs = nowUs;
        return demand;
    }

    /** Adds the tokens up to {@code nowUs}, at each of the rates in force since the last call. */
    private void fill(long nowUs) {
        while (filledUs < nowUs) {
            long until = Math.min(nowUs, nextRateChangeUs());
            tokens += currentRate(filledUs) * (until - filledUs) / SECOND_US;
            filledUs = until;
            lent.expire(until);
            borrowed.expire(until);
            capTokens(until);
        }
    }

    private long nextRateChangeUs() {
        long lendingResumesUs = startedUs + parameters.lenderTermUs();
        long next = lendingResumesUs > filledUs ? lendingResumesUs : Long.MAX_VALUE;
        return Math.min(next, Math.min(lent.nextExpiryUs(), borrowed.nextExpiryUs()));
    }

    private double currentRate(long atUs) {
        double own = justStarted(atUs) ? RESERVED_PART * parameters.share() : parameters.share() - lent.sum();
        return own + borrowed.sum();
    }

    /** Returns whether loans granted by an earlier process of this director may still be in use. */
    private boolean justStarted(long atUs) {
        return atUs - startedUs < parameters.lenderTermUs();
    }

    /**
     * Limits the tokens to the bucket's capacity at the current rate, but at least one, so that small shares admit some
     * requests.
     */
    private void capTokens(long nowUs) {
        tokens = Math.min(tokens, Math.max(1, parameters.burstS() * currentRate(nowUs)));
    }
}
