package clovermill.fleet.decide;

import java.util.PriorityQueue;

/** Amounts that go one way, each until a time, the first to end first. */
final class Loans {

    /** Loans that are remembered; at the bound nothing more is lent or taken. */
    static final int MOST = 256;

    private record Loan(double amount, long untilUs) { }

    private final PriorityQueue<Loan> open = new PriorityQueue<>((a, b) -> Long.compare(a.untilUs, b.untilUs));
    private double sum;

    void add(double amount, long untilUs) {
        open.add(new Loan(amount, untilUs));
        sum += amount;
    }

    /** Drops those whose time is over. */
    void end(long nowUs) {
        while (!open.isEmpty() && open.peek().untilUs <= nowUs) {
            sum -= open.poll().amount;
        }
        // What additions and subtractions leave over must not add up.
        sum = open.isEmpty() ? 0 : sum;
    }

    double sum() {
        return sum;
    }

    boolean full() {
        return open.size() >= MOST;
    }

    /** When the next one ends. */
    long nextUs() {
        return open.isEmpty() ? Long.MAX_VALUE : open.peek().untilUs;
    }

    /** What of it lasts until a time. */
    double lasting(long untilUs) {
        return open.stream().filter(loan -> loan.untilUs >= untilUs).mapToDouble(Loan::amount).sum();
    }
}
