package clovermill.runtime.net;

/**
 * Work that recurs on the event loop until it is stopped or the loop ends. The next run is scheduled before the work is
 * done, so that a run that throws costs only itself.
 */
public final class RecurringTask {

    private final Deadlines deadlines;
    private final Clock clock;
    private final long intervalUs;
    private final Runnable work;
    private Deadlines.Deadline next;

    /** A task that does nothing before {@link #start()}. */
    public RecurringTask(Deadlines deadlines, Clock clock, long intervalUs, Runnable work) {
        this.deadlines = deadlines;
        this.clock = clock;
        this.intervalUs = intervalUs;
        this.work = work;
    }

    /** Does the work now, and again {@code intervalUs} microseconds after the begin of each run. */
    public static void start(Deadlines deadlines, Clock clock, long intervalUs, Runnable work) {
        new RecurringTask(deadlines, clock, intervalUs, work).start();
    }

    /** Does the work now, and again one interval after the begin of each run. */
    public void start() {
        deadlines.cancel(next);
        run();
    }

    /** Ends the recurrence; the work itself may call this. */
    public void stop() {
        deadlines.cancel(next);
    }

    private void run() {
        next = deadlines.add(clock.micros() + intervalUs, this::run);
        work.run();
    }
}
