package clovermill.fleet.decide;

/**
 * One director's part of a limit that the whole fleet keeps: a slice of its own, less what it has lent to others,
 * plus what it was lent, each for a term.
 *
 * <p>Leases (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism", 1989) without a server: the borrower
 * counts a term from when it <em>asked</em>, the lender from when it <em>gave</em>, and a little longer for clocks
 * that run apart. So at every moment the slices of all directors together are at most the limit, whatever is lost,
 * late, repeated or cut off, and nobody compares two clocks. A director that starts knows nothing of what it had
 * lent, so it keeps back for a term all that it may ever lend.
 *
 * <p>Each slice fills a token bucket. In any time of w seconds all n directors together admit at most
 * {@code limit x (w + burst) + n}: see {@link #most}. Not thread-safe; times are microseconds of the owner's clock.
 */
public final class LeasedRate implements Slice {

    /**
     * Figures that all directors of a fleet share: the limit by second, how many directors there are, seconds of its
     * slice that a bucket holds, the term of a loan, and how much faster one clock may run than another.
     */
    public record Terms(double perSecond, int directors, double burstS, long termUs, double drift) {

        /** Each director's own slice, by second. */
        double slice() {
            return perSecond / directors;
        }

        /** How long a lender counts what it has lent: longer than any borrower by its own clock uses it. */
        long lentUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** Part of its slice that a director never lends: what it admits without a word from anybody. */
    static final double KEPT = 0.2;
    /** What a director keeps for itself beyond what it was asked for of late, and asks for when it lacks. */
    private static final double MARGIN = 1.25;
    private static final double DEMAND_US = 1_000_000;
    private static final double S = 1e6;

    private final Terms terms;
    private long startedUs;
    private final Loans lent = new Loans();
    private final Loans borrowed = new Loans();
    private double tokens;
    private long filledUs;
    private double demand;
    private long demandUs;

    public LeasedRate(Terms terms, long nowUs) {
        this.terms = terms;
        this.startedUs = nowUs;
        this.filledUs = nowUs;
        this.demandUs = nowUs;
    }

    @Override
    public void startAnew(long nowUs) {
        fill(nowUs);
        startedUs = nowUs;
        cap(nowUs);
    }

    /** What all directors together admit at most in any so many seconds, partitions and restarts included. */
    public static double most(Terms terms, double seconds) {
        return terms.perSecond() * (seconds + terms.burstS()) + terms.directors();
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        return admit(nowUs);
    }

    @Override
    public void over() { }

    @Override
    public double amount(long nowUs) {
        return rate(nowUs);
    }

    @Override
    public double most() {
        return terms.slice();
    }

    /** Whether one more is admitted now; a rate does not ask when it is over. */
    public boolean admit(long nowUs) {
        wanted(nowUs);
        demand += S / DEMAND_US;
        fill(nowUs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** What it may admit by second now. */
    public double rate(long nowUs) {
        fill(nowUs);
        return present(nowUs);
    }

    @Override
    public double lacks(long nowUs) {
        double more = MARGIN * wanted(nowUs) - rate(nowUs);
        return borrowed.full() ? 0 : Math.max(0, more);
    }

    /** How much by second it could lend now. */
    public double spare(long nowUs) {
        fill(nowUs);
        boolean knows = nowUs - startedUs >= terms.lentUs();
        double lendable = (1 - KEPT) * terms.slice() - lent.sum();
        double unused = terms.slice() - lent.sum() - MARGIN * wanted(nowUs);
        return !knows || lent.full() ? 0 : Math.max(0, Math.min(lendable, unused));
    }

    @Override
    public double lend(double asked, long nowUs) {
        double given = asked > 0 ? Math.min(asked, spare(nowUs)) : 0;
        if (given > 0) {
            lent.add(given, nowUs + terms.lentUs());
            cap(nowUs);
        }
        return given;
    }

    @Override
    public void borrow(double given, long askedUs, long nowUs) {
        fill(nowUs);
        boolean lasts = askedUs + terms.termUs() > nowUs;
        if (lasts && given > 0 && given <= terms.perSecond() && !borrowed.full()) {
            borrowed.add(given, askedUs + terms.termUs());
        }
    }

    /** What is asked of it by second, on average over a second. */
    private double wanted(long nowUs) {
        demand *= Math.exp(-(nowUs - demandUs) / DEMAND_US);
        demandUs = nowUs;
        return demand;
    }

    /** Lets tokens come up to now, at each of the rates that held on the way. */
    private void fill(long nowUs) {
        while (filledUs < nowUs) {
            long until = Math.min(nowUs, nextChangeUs());
            tokens += present(filledUs) * (until - filledUs) / S;
            filledUs = until;
            lent.end(until);
            borrowed.end(until);
            cap(until);
        }
    }

    private long nextChangeUs() {
        long next = startedUs + terms.lentUs() > filledUs ? startedUs + terms.lentUs() : Long.MAX_VALUE;
        return Math.min(next, Math.min(lent.nextUs(), borrowed.nextUs()));
    }

    private double present(long atUs) {
        double own = atUs - startedUs < terms.lentUs() ? KEPT * terms.slice() : terms.slice() - lent.sum();
        return own + borrowed.sum();
    }

    /** A bucket holds the burst of the present slice, and one request at least, lest small slices admit nothing. */
    private void cap(long nowUs) {
        tokens = Math.min(tokens, Math.max(1, terms.burstS() * present(nowUs)));
    }
}
