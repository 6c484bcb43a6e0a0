package clovermill.fleet.decide;

/**
 * One director's part of a limit that the whole fleet keeps: its own, less what it has lent, plus what it was lent,
 * each for a term. What an amount counts, requests by second or requests that are open, is the limit's matter.
 */
public interface Slice {

    /** Whether one more is admitted now, which will be over by {@code untilUs} at the latest. */
    boolean admit(long nowUs, long untilUs);

    /** One that was admitted is over. */
    void over();

    /** What it has now. */
    double amount(long nowUs);

    /** How much more it could use, 0 where its own does. */
    double lacks(long nowUs);

    /** The most that is worth asking one fellow for. */
    double most();

    /** Lends up to so much; what it returns counts as gone from now on, whether the answer arrives or not. */
    double lend(double asked, long nowUs);

    /** Takes a loan that was asked for at {@code askedUs} of this clock; one whose term is over is none. */
    void borrow(double given, long askedUs, long nowUs);

    /** Takes it that somebody else may still use and lend this slice: all that is ever lent is kept back for a term. */
    void startAnew(long nowUs);
}
