package clovermill.prove.capacity;

import java.util.Locale;

/**
 * The bound on a metric of one director when the list of caches grows and the load stays the same: {@code factor}
 * times the baseline, plus a constant and an amount for each thousand caches added.
 *
 * @param factor multiple of the baseline
 * @param fixed constant, in the metric's unit
 * @param perThousandCaches amount per thousand added caches, in the metric's unit
 * @param lowerBound true if the result is a lower bound, false if it is an upper bound
 */
record AllowedGrowth(double factor, double fixed, double perThousandCaches, boolean lowerBound) {

    private static final double THOUSAND = 1000;

    /** Seconds. */
    static final AllowedGrowth CPU = new AllowedGrowth(1.4, 0.02, 0.12, false);
    /** Megabytes. */
    static final AllowedGrowth MEMORY = new AllowedGrowth(1.5, 8, 4, false);
    static final AllowedGrowth DESCRIPTORS = new AllowedGrowth(2, 40, 0, false);
    static final AllowedGrowth CONNECTIONS = new AllowedGrowth(2.5, 40, 0, false);
    /** Kilobytes. */
    static final AllowedGrowth LIST = new AllowedGrowth(2, 64, 500, false);
    static final AllowedGrowth SERVED = new AllowedGrowth(0.85, 0, 0, true);

    /** Returns the bound on the value after adding caches, in the unit of the baseline. */
    double bound(double baseline, int addedCaches) {
        return factor * baseline + fixed + perThousandCaches * addedCaches / THOUSAND;
    }

    /** Returns whether a value measured after adding caches is within the bound. */
    boolean allows(double baseline, double enlarged, int addedCaches) {
        double bound = bound(baseline, addedCaches);
        return lowerBound ? enlarged >= bound : enlarged <= bound;
    }

    /** Returns the bound as text for the report. */
    String text(double baseline, int addedCaches, int decimals) {
        return String.format(Locale.ROOT, "%s %." + decimals + "f", lowerBound ? "at least" : "at most",
                bound(baseline, addedCaches));
    }
}
