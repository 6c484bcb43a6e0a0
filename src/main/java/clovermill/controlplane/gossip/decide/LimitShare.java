package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on the fleet: its own part, minus the parts that it has lent, plus the parts that it
 * has borrowed, each under a lease of a fixed term. The unit of an amount is that of the limit: requests per second or
 * open requests.
 */
public interface LimitShare {

    /** Admits one more request, which completes by {@code untilUs} at the latest; returns false if it is rejected. */
    boolean admit(long nowUs, long untilUs);

    /** Releases an admitted request, which has completed. */
    void release();

    /** Returns the amount that this director may use now. */
    double amount(long nowUs);

    /** Returns the amount that the demand exceeds the share by, or 0. */
    double shortfall(long nowUs);

    /** Returns the largest amount to request from one peer. */
    double maxRequest();

    /** Lends up to the requested amount; the returned amount counts as lent even if the reply to the peer is lost. */
    double lend(double requested, long nowUs);

    /** Adds a loan that was requested at {@code requestedUs} of this clock, unless its lease has expired. */
    void borrow(double granted, long requestedUs, long nowUs);

    /** Withholds the lendable part for one term, as another process of this director may still use and lend it. */
    void restart(long nowUs);
}
