package clovermill.fleet.decide;

/**
 * One director's part of a limit on how many requests the whole fleet has open at once. Slices are whole places, lent
 * as in {@link LeasedRate}; one on a borrowed place has to be over before the place goes back. So at every moment all
 * directors together have at most the limit open, whatever becomes of messages; what a director that died had open
 * ends when members notice. Not thread-safe; times are microseconds of the owner's clock.
 */
public final class LeasedOpen implements Slice {

    /** Figures that all directors of a fleet share: places, directors, the term of a loan and how clocks run apart. */
    public record Terms(int places, int directors, long termUs, double drift) {

        long lentUs() {
            return (long) Math.ceil(termUs * (1 + 2 * drift));
        }
    }

    /** What was refused of late, on average over this time, is what is lacking. */
    private static final double DEMAND_US = 1_000_000;

    private final Terms terms;
    private final int own;
    private final int kept;
    private final Loans lent = new Loans();
    private final Loans borrowed = new Loans();
    private long startedUs;
    private int open;
    private double refused;
    private long refusedUs;

    /** The director of a number, from 0; places that cannot be shared out evenly go to the first ones. */
    public LeasedOpen(Terms terms, int self, long nowUs) {
        this.terms = terms;
        this.own = terms.places() / terms.directors() + (self < terms.places() % terms.directors() ? 1 : 0);
        this.kept = (int) Math.ceil(LeasedRate.KEPT * own);
        this.startedUs = nowUs;
        this.refusedUs = nowUs;
    }

    @Override
    public boolean admit(long nowUs, long untilUs) {
        ends(nowUs);
        if (open < mine(nowUs) || open < mine(nowUs) + borrowed.lasting(untilUs)) {
            open++;
            return true;
        }
        refused++;
        return false;
    }

    @Override
    public void over() {
        open--;
    }

    @Override
    public double amount(long nowUs) {
        ends(nowUs);
        return mine(nowUs) + borrowed.sum();
    }

    @Override
    public double lacks(long nowUs) {
        ends(nowUs);
        return borrowed.full() ? 0 : Math.ceil(Math.max(0, refused + open - amount(nowUs) - 0.5));
    }

    @Override
    public double most() {
        return Math.max(1, terms.places() / (double) terms.directors());
    }

    /** Lends whole places that are free now and that it keeps not for itself. */
    @Override
    public double lend(double asked, long nowUs) {
        ends(nowUs);
        boolean knows = nowUs - startedUs >= terms.lentUs();
        double free = Math.min(own - kept - lent.sum(), own - lent.sum() - open - refused);
        double given = knows && !lent.full() ? Math.floor(Math.max(0, Math.min(asked, free))) : 0;
        if (given > 0) {
            lent.add(given, nowUs + terms.lentUs());
        }
        return given;
    }

    @Override
    public void borrow(double given, long askedUs, long nowUs) {
        ends(nowUs);
        boolean lasts = askedUs + terms.termUs() > nowUs;
        if (lasts && given >= 1 && given <= terms.places() && !borrowed.full()) {
            borrowed.add(Math.floor(given), askedUs + terms.termUs());
        }
    }

    @Override
    public void startAnew(long nowUs) {
        startedUs = nowUs;
    }

    /** Places of its own now; after a start only what is never lent, as it may have lent the rest. */
    private int mine(long nowUs) {
        return nowUs - startedUs < terms.lentUs() ? kept : own - (int) lent.sum();
    }

    private void ends(long nowUs) {
        lent.end(nowUs);
        borrowed.end(nowUs);
        refused *= Math.exp(-(nowUs - refusedUs) / DEMAND_US);
        refusedUs = nowUs;
    }
}
