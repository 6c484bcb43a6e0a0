package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on requests a second: an equal part of the limit, less what it has lent to peers,
 * plus what it has borrowed, each under a lease of a fixed term.
 *
 * <p>Leases (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism", 1989) without a server: the borrower
 * counts the term from when it <em>requested</em> the loan, the lender from when it <em>granted</em> it, and a little
 * longer for clock drift. So at every moment the shares of all directors together are at most the limit, whatever is
 * lost, delayed, duplicated or partitioned, and no two clocks are compared. A director that starts does not know what
 * it had lent, so it withholds for a term all that it may ever lend.
 *
 * <p>Each share fills a token bucket. In any time of w seconds all n directors together admit at most
 * {@code limit x (w + burst) + n}: see {@link #maxAdmitted}. Not thread-safe; times are microseconds of the owner's
 * clock.
 */
public final class RateLimitShare implements LimitShare {

    /**
     * What all directors of a fleet have in common: the limit by second, the number of directors, seconds of its
     * share that a bucket holds, the term of a loan, and the bound on clock drift.
     */
    public record Parameters(double perSecond, int directors, double burstS, long termUs, double drift) {

        /** Each director's equal part, by second. */
        double share() {
            return perSecond / directors;
        }

        /** How long a lender counts a loan: longer than any borrower uses it by its own clock. */
        long lenderTermUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** Part of its share that a director never lends: what it admits while cut off or just started. */
    static final double RESERVED_PART = 0.2;
    /** What a director reserves for itself, or requests, as a multiple of its recent demand. */
    private static final double DEMAND_MARGIN = 1.25;
    /** Time constant of the exponential average of demand. */
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

    /** The share of a director that starts now: it withholds for a term what an earlier process may have lent. */
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

    /** What all directors together admit at most in any so many seconds, partitions and restarts included. */
    public static double maxAdmitted(Parameters parameters, double seconds) {
        return parameters.perSecond() * (seconds + parameters.burstS()) + parameters.directors();
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        return admit(nowUs);
    }

    /** A rate does not count open requests. */
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

    /** Whether one more request is admitted now. */
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

    /** The requests a second that it may admit now. */
    public double rate(long nowUs) {
        fill(nowUs);
        return currentRate(nowUs);
    }

    @Override
    public double shortfall(long nowUs) {
        double missing = DEMAND_MARGIN * decayDemand(nowUs) - rate(nowUs);
        return borrowed.full() ? 0 : Math.max(0, missing);
    }

    /** How much, by second, it could lend now. */
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

    /** Brings the average of demand, by second, up to now and returns it. */
    private double decayDemand(long nowUs) {
        demand *= Math.exp(-(nowUs - demandUs) / DEMAND_US);
        demandUs = nowUs;
        return demand;
    }

    /** Adds tokens up to now, at each of the rates in force meanwhile. */
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
        long lendsAgainUs = startedUs + parameters.lenderTermUs();
        long next = lendsAgainUs > filledUs ? lendsAgainUs : Long.MAX_VALUE;
        return Math.min(next, Math.min(lent.nextExpiryUs(), borrowed.nextExpiryUs()));
    }

    private double currentRate(long atUs) {
        double own = justStarted(atUs) ? RESERVED_PART * parameters.share() : parameters.share() - lent.sum();
        return own + borrowed.sum();
    }

    /** Whether loans of the process before may still run, which this one does not know of. */
    private boolean justStarted(long atUs) {
        return atUs - startedUs < parameters.lenderTermUs();
    }

    /**
     * A bucket holds the burst of the current rate, and one request at least, so that small shares admit some requests.
     */
    private void capTokens(long nowUs) {
        tokens = Math.min(tokens, Math.max(1, parameters.burstS() * currentRate(nowUs)));
    }
}
