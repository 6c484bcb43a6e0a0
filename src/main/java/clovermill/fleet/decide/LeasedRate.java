package clovermill.fleet.decide;

import java.util.ArrayList;
import java.util.List;

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
public final class LeasedRate {

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
    /** Loans that are remembered each way; at the bound nothing more is lent or taken. */
    static final int MOST_LOANS = 256;
    /** What a director keeps for itself beyond what it was asked for of late, and asks for when it lacks. */
    private static final double MARGIN = 1.25;
    private static final double DEMAND_US = 1_000_000;
    private static final double S = 1e6;

    private record Loan(double perSecond, long untilUs) { }

    private final Terms terms;
    private long startedUs;
    private final List<Loan> lent = new ArrayList<>();
    private final List<Loan> borrowed = new ArrayList<>();
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

    /** Takes it that somebody else may still use and lend this slice: all that is ever lent is kept back for a term. */
    public void startAnew(long nowUs) {
        fill(nowUs);
        startedUs = nowUs;
        cap(nowUs);
    }

    /** What all directors together admit at most in any so many seconds, partitions and restarts included. */
    public static double most(Terms terms, double seconds) {
        return terms.perSecond() * (seconds + terms.burstS()) + terms.directors();
    }

    /** Whether one more is admitted now. */
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

    /** How much more by second it could use, 0 where its slice does. */
    public double lacks(long nowUs) {
        double more = MARGIN * wanted(nowUs) - rate(nowUs);
        return borrowed.size() < MOST_LOANS ? Math.max(0, more) : 0;
    }

    /** How much by second it could lend now. */
    public double spare(long nowUs) {
        fill(nowUs);
        boolean knows = nowUs - startedUs >= terms.lentUs();
        double lendable = (1 - KEPT) * terms.slice() - sum(lent);
        double unused = terms.slice() - sum(lent) - MARGIN * wanted(nowUs);
        return !knows || lent.size() >= MOST_LOANS ? 0 : Math.max(0, Math.min(lendable, unused));
    }

    /** Lends up to so much; what it returns counts as gone from now on, whether the answer arrives or not. */
    public double lend(double asked, long nowUs) {
        double given = asked > 0 ? Math.min(asked, spare(nowUs)) : 0;
        if (given > 0) {
            lent.add(new Loan(given, nowUs + terms.lentUs()));
            cap(nowUs);
        }
        return given;
    }

    /** Takes a loan that was asked for at {@code askedUs} of this clock; one whose term is over is none. */
    public void borrow(double given, long askedUs, long nowUs) {
        fill(nowUs);
        boolean lasts = askedUs + terms.termUs() > nowUs;
        if (lasts && given > 0 && given <= terms.perSecond() && borrowed.size() < MOST_LOANS) {
            borrowed.add(new Loan(given, askedUs + terms.termUs()));
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
            long at = until;
            lent.removeIf(loan -> loan.untilUs <= at);
            borrowed.removeIf(loan -> loan.untilUs <= at);
            cap(at);
        }
    }

    private long nextChangeUs() {
        long next = startedUs + terms.lentUs() > filledUs ? startedUs + terms.lentUs() : Long.MAX_VALUE;
        for (Loan loan : lent) {
            next = Math.min(next, loan.untilUs);
        }
        for (Loan loan : borrowed) {
            next = Math.min(next, loan.untilUs);
        }
        return next;
    }

    private double present(long atUs) {
        double own = atUs - startedUs < terms.lentUs() ? KEPT * terms.slice() : terms.slice() - sum(lent);
        return own + sum(borrowed);
    }

    /** A bucket holds the burst of the present slice, and one request at least, lest small slices admit nothing. */
    private void cap(long nowUs) {
        tokens = Math.min(tokens, Math.max(1, terms.burstS() * present(nowUs)));
    }

    private static double sum(List<Loan> loans) {
        double sum = 0;
        for (Loan loan : loans) {
            sum += loan.perSecond;
        }
        return sum;
    }
}
