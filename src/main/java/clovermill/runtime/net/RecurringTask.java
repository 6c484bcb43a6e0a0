package clovermill.runtime.net;

/**
 * Runs work on the event loop at a fixed interval until it is stopped. The next run is scheduled before the work runs,
 * so that an exception does not stop the recurrence.
 */
public final class RecurringTask {

    private final Deadlines deadlines;
    private final Clock clock;
    private final long intervalUs;
    private final Runnable work;
    private Deadlines.Deadline next;

    /** Creates a task that runs first at {@link #start()}. */
    public RecurringTask(Deadlines deadlines, Clock clock, long intervalUs, Runnable work) {
        this.deadlines = deadlines;
        this.clock = clock;
        this.intervalUs = intervalUs;
        this.work = work;
    }

    /** Runs the work now and again {@code intervalUs} after the start of each run. */
    public static void start(Deadlines deadlines, Clock clock, long intervalUs, Runnable work) {
        new RecurringTask(deadlines, clock, intervalUs, work).start();
    }

    /** Runs the work now and again one interval after the start of each run. */
    public void start() {
        deadlines.cancel(next);
        run();
    }

    /** Stops the recurrence; the work itself may call this. */
    public void stop() {
        deadlines.cancel(next);
    }

    private void run() {
        next = deadlines.add(clock.micros() + intervalUs, this::run);
        work.run();
    }
}
