package clovermill.prove.capacity;

import java.util.Locale;

/**
 * How far a figure may move over the same day when a director knows more caches: {@code factor} times the usual value,
 * plus a fixed part and a part for each thousand caches that were added.
 *
 * @param factor of the usual value
 * @param fixed in the figure's unit
 * @param perThousandCaches in the figure's unit
 * @param least whether the result is a least value, not a most one
 */
record AllowedGrowth(double factor, double fixed, double perThousandCaches, boolean least) {

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

    /** The bound on the value with so many caches more, in the unit of the usual value. */
    double bound(double usual, int addedCaches) {
        return factor * usual + fixed + perThousandCaches * addedCaches / THOUSAND;
    }

    /** Whether a value with so many caches more is within the bound. */
    boolean allows(double usual, double many, int addedCaches) {
        double bound = bound(usual, addedCaches);
        return least ? many >= bound : many <= bound;
    }

    /** The bound in words. */
    String text(double usual, int addedCaches, int decimals) {
        return String.format(Locale.ROOT, "%s %." + decimals + "f", least ? "at least" : "at most",
                bound(usual, addedCaches));
    }
}
