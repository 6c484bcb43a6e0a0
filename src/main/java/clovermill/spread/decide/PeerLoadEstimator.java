package clovermill.spread.decide;

import java.util.random.RandomGenerator;

/**
 * What fellow directors have out at something that all share, a member or a link, as one director may believe it.
 *
 * <p>Reports count what everybody has out. They come late, seldom and noisy, and all directors see the same ones: who
 * follows each of them runs with all others to whatever looked idle last (Mitzenmacher, "How Useful Is Old
 * Information?", 2000). So a report is taken for the level of some time, not of a moment: it is averaged over about
 * a second, and of that level only this director's own average is taken away; what it sends or gets back from then on
 * it counts itself, at once. Where reports grow old the belief goes over, bit by bit, to the guess of one who is told
 * nothing. Not thread-safe; times are microseconds on the owner's clock.
 */
public final class PeerLoadEstimator {

    /** Time over which reports are averaged: some of their periods, which are up to a second. */
    private static final double BLEND_US = 1_000_000;
    /** Time after which a level that nothing refreshes counts for less than the guess (a factor of e). */
    private static final double FADE_US = 3_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double level;
    private long reportedUs = NEVER;

    /** Takes a report of what all directors together had out; one that is no number of at least 0 is passed over. */
    public void reported(double all, long nowUs) {
        if (all >= 0 && all < Double.POSITIVE_INFINITY) {
            double age = Math.max(0, nowUs - reportedUs);
            level += (reportedUs == NEVER ? 1 : 1 - Math.exp(-age / BLEND_US)) * (all - level);
            reportedUs = nowUs;
        }
    }

    /** Whether anything was ever reported. */
    public boolean told() {
        return reportedUs != NEVER;
    }

    /**
     * Whether one of the requests for a member that holds {@code strain} times what it can at full pace better goes
     * elsewhere. By chance, just the excess: all directors see the same report, and together they are to take away what
     * is too much and no more. Less of it the older the reports are, and nothing where none were told, as a guess from
     * one's own few requests is no reason to move. Draws a number only where there is an excess.
     */
    public boolean sheds(double strain, long nowUs, RandomGenerator random) {
        double excess = strain > 1 ? trust(nowUs) * (1 - 1 / strain) : 0;
        return excess > 0 && random.nextDouble() < excess;
    }

    private double trust(long nowUs) {
        return told() ? Math.exp(-(nowUs - reportedUs) / FADE_US) : 0;
    }

    /** What fellows are believed to have out, at least 0: told of late, or as guessed from what this director has. */
    public double fellows(double ownAverage, double guess, long nowUs) {
        double trust = trust(nowUs);
        return trust * Math.max(0, level - ownAverage) + (1 - trust) * guess;
    }

    /** Forgets all: what is counted has started anew. */
    public void forget() {
        reportedUs = NEVER;
        level = 0;
    }
}
