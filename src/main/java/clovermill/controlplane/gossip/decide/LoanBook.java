package clovermill.controlplane.gossip.decide;

import java.util.PriorityQueue;

/** The unexpired loans in one direction, ordered by expiry. */
final class LoanBook {

    /** Maximum number of unexpired loans; at the bound nothing more is lent or borrowed. */
    static final int MAX_LOANS = 256;

    private record Loan(double amount, long expiryUs) {}

    private final PriorityQueue<Loan> unexpired = new PriorityQueue<>((a, b) -> Long.compare(a.expiryUs, b.expiryUs));
    private double sum;

    void add(double amount, long expiryUs) {
        unexpired.add(new Loan(amount, expiryUs));
        sum += amount;
    }

    /** Removes the loans that have expired. */
    void expire(long nowUs) {
        while (!unexpired.isEmpty() && unexpired.peek().expiryUs <= nowUs) {
            sum -= unexpired.poll().amount;
        }
        // Resets the sum, so that rounding errors of additions and subtractions do not accumulate.
        sum = unexpired.isEmpty() ? 0 : sum;
    }

    /** Returns the sum of the unexpired loans. */
    double sum() {
        return sum;
    }

    /** Returns whether the maximum number of loans is reached. */
    boolean full() {
        return unexpired.size() >= MAX_LOANS;
    }

    /** Returns the time at which the next loan expires, or {@link Long#MAX_VALUE} if there is none. */
    long nextExpiryUs() {
        return unexpired.isEmpty() ? Long.MAX_VALUE : unexpired.peek().expiryUs;
    }

    /** Returns the sum of the loans that do not expire before {@code untilUs}. */
    double sumUntil(long untilUs) {
        return unexpired.stream().filter(loan -> loan.expiryUs >= untilUs).mapToDouble(Loan::amount).sum();
    }
}
