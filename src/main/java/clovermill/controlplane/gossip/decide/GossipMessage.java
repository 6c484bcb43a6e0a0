package clovermill.controlplane.gossip.decide;

import java.util.List;

/**
 * A message from one director to another: the incarnation that sends it ({@code incarnation}, a random number drawn at
 * its start), its sequence number to this peer, the digest of the sender's {@link ReplicatedMap}, some of its entries,
 * and loans requested and granted by limit.
 */
public record GossipMessage(int from, long incarnation, long sequence, long digest, List<ReplicatedEntry> entries,
        List<LoanRequest> loanRequests, List<Loan> loans) {

    /** Requests so much more of a limit; {@code nonce} comes back with the loan. */
    public record LoanRequest(int limit, long nonce, double amount) {}

    /** Grants so much; the borrower knows by the nonce when it requested it. */
    public record Loan(int limit, long nonce, double amount) {}
}
