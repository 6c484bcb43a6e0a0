package clovermill.fleet.decide;

import java.util.List;

/**
 * What one director tells another: which start of it speaks ({@code boot}, a random number), the how manieth message
 * of that start to this fellow it is, the digest of its verdicts, some verdicts, and loans asked for and given by
 * limit.
 */
public record Message(int from, long boot, long sequence, long digest, List<Verdict> verdicts, List<Ask> asks,
        List<Loan> loans) {

    /** Asks for so much more of a limit; {@code nonce} comes back with what is lent. */
    public record Ask(int limit, long nonce, double amount) { }

    /** Lends so much; the borrower knows by the nonce when it asked. */
    public record Loan(int limit, long nonce, double amount) { }
}
