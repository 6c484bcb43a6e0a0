package clovermill.controlplane.gossip.decide;

import java.util.List;

/**
 * A message from one director to another.
 *
 * @param from the index of the sender
 * @param incarnation a random number that the sender draws when it starts
 * @param sequence the sequence number among the messages of this incarnation to the same peer
 * @param digest the digest of the sender's {@link ReplicatedMap}
 * @param entries some of the entries of that map
 * @param loanRequests loans that the sender requests
 * @param loans loans that the sender grants
 */
public record GossipMessage(int from, long incarnation, long sequence, long digest, List<ReplicatedEntry> entries,
        List<LoanRequest> loanRequests, List<Loan> loans) {

    /** A request for a loan of {@code amount} of a limit; the loan repeats {@code nonce}. */
    public record LoanRequest(int limit, long nonce, double amount) {}

    /** A granted loan; the borrower looks up the time of its request by {@code nonce}. */
    public record Loan(int limit, long nonce, double amount) {}
}
