package clovermill.controlplane.gossip.decide;

import java.util.PriorityQueue;

/** Loans in one direction, by the time at which each expires. */
final class LoanBook {

    /** The most loans held; at the bound nothing more is lent or borrowed. */
    static final int MAX_LOANS = 256;

    private record Loan(double amount, long expiryUs) {}

    private final PriorityQueue<Loan> open = new PriorityQueue<>((a, b) -> Long.compare(a.expiryUs, b.expiryUs));
    private double sum;

    /** Records a loan. */
    void add(double amount, long expiryUs) {
        open.add(new Loan(amount, expiryUs));
        sum += amount;
    }

    /** Drops the loans that have expired. */
    void expire(long nowUs) {
        while (!open.isEmpty() && open.peek().expiryUs <= nowUs) {
            sum -= open.poll().amount;
        }
        // Rounding errors of additions and subtractions must not accumulate.
        sum = open.isEmpty() ? 0 : sum;
    }

    /** The sum of all loans that have not expired. */
    double sum() {
        return sum;
    }

    /** Whether the bound on loans is reached. */
    boolean full() {
        return open.size() >= MAX_LOANS;
    }

    /** When the next loan expires; {@link Long#MAX_VALUE} if there is none. */
    long nextExpiryUs() {
        return open.isEmpty() ? Long.MAX_VALUE : open.peek().expiryUs;
    }

    /** The sum of the loans that do not expire before a time. */
    double sumUntil(long untilUs) {
        return open.stream().filter(loan -> loan.expiryUs >= untilUs).mapToDouble(Loan::amount).sum();
    }
}
