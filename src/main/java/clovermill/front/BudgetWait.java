package clovermill.front;

import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.Timeout;

/** Waits until the budget has room for a large frame. Its client is not read meanwhile, and may go unseen. */
final class BudgetWait {

    /** For so long that does not matter: half of what an attempt may begin late after its client has gone. */
    private static final long BLIND_US = 50_000;
    /** Then the frame is given up: its request's answer must come half a second after its time at the latest. */
    private static final long MOST_US = 400_000;

    private final Budget budget;
    private final Timeout blind;
    private final Timeout most;
    private final Runnable over;
    private boolean waits;

    /** {@code blind} is run where it takes long, {@code over} when there is room, {@code none} once if none comes. */
    BudgetWait(Budget budget, Clock clock, Deadlines deadlines, Runnable blind, Runnable over, Runnable none) {
        this.budget = budget;
        this.blind = new Timeout(clock, deadlines, blind);
        this.most = new Timeout(clock, deadlines, () -> {
            waits = false;
            none.run();
        });
        this.over = over;
    }

    void begin() {
        waits = true;
        if (!most.isSet()) { // else some room was found, and not enough
            blind.setAfter(BLIND_US);
            most.setAfter(MOST_US);
        }
        budget.await(() -> {
            if (waits) {
                waits = false;
                over.run();
            }
        });
    }

    boolean waits() {
        return waits;
    }

    /** The frame has its room. */
    void end() {
        blind.cancel();
        most.cancel();
    }

    void close() {
        most.close();
        blind.close();
    }
}
