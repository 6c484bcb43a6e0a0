package clovermill.front;

import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;

/** Waits until the budget has room for a large frame. Its client is not read meanwhile, and may go unseen. */
final class RoomWait {

    /** For so long that does not matter: half of what an attempt may begin late after its client has gone. */
    private static final long BLIND_US = 50_000;

    private final Budget budget;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Runnable blind;
    private final Runnable over;
    private Deadlines.Deadline late;
    private boolean waits;

    /** {@code blind} is run where it takes long, {@code over} when there is room. */
    RoomWait(Budget budget, Clock clock, Deadlines deadlines, Runnable blind, Runnable over) {
        this.budget = budget;
        this.clock = clock;
        this.deadlines = deadlines;
        this.blind = blind;
        this.over = over;
    }

    void begin() {
        waits = true;
        late = deadlines.add(clock.micros() + BLIND_US, blind);
        budget.await(() -> {
            waits = false;
            deadlines.cancel(late);
            over.run();
        });
    }

    boolean waits() {
        return waits;
    }

    void close() {
        deadlines.cancel(late);
    }
}
