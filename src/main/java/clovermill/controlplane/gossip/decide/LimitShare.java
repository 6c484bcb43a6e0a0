package clovermill.controlplane.gossip.decide;

/**
 * One director's share of a limit on the fleet: its own part, less what it has lent, plus what it has
 * borrowed, each under a lease of a fixed term. An amount counts requests a second or open requests, as the limit
 * does.
 */
public interface LimitShare {

    /** Whether one more request is admitted now, which ends by {@code untilUs} at the latest. */
    boolean admit(long nowUs, long untilUs);

    /** An admitted request has ended. */
    void release();

    /** The amount that this director may use now. */
    double amount(long nowUs);

    /** How much more it could use, 0 where its own amount is enough. */
    double shortfall(long nowUs);

    /** The most to request from one peer. */
    double maxRequest();

    /** Lends up to so much; what it returns counts as lent from now on, whether the answer arrives or not. */
    double lend(double requested, long nowUs);

    /** Accepts a loan that was requested at {@code requestedUs} of this clock, unless its lease has expired. */
    void borrow(double granted, long requestedUs, long nowUs);

    /** Assumes that another process may still use and lend this share: what may be lent is withheld for a term. */
    void restart(long nowUs);
}
