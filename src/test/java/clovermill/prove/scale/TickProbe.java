package clovermill.prove.scale;

import java.util.concurrent.locks.LockSupport;

/**
 * A thread that wakes every 10 ms and counts late wake-ups, which are rare on a machine with a spare core. Figures that
 * were measured while too many were late are void.
 */
final class TickProbe extends Thread {

    static final String NAME = "tick-probe";
    private static final long TICK_NS = 10_000_000;
    /** A tick is late if it is delayed by a full interval. */
    private static final long LATE_NS = 10_000_000;

    private volatile long ticks;
    private volatile long late;

    TickProbe() {
        super(NAME);
        setDaemon(true);
    }

    @Override
    public void run() {
        long dueNs = System.nanoTime() + TICK_NS;
        while (true) {
            for (long leftNs = dueNs - System.nanoTime(); leftNs > 0; leftNs = dueNs - System.nanoTime()) {
                LockSupport.parkNanos(leftNs);
            }
            long overNs = System.nanoTime() - dueNs;
            ticks++;
            if (overNs > LATE_NS) {
                late++;
            }
            dueNs = Math.max(dueNs + TICK_NS, System.nanoTime());
        }
    }

    long ticks() {
        return ticks;
    }

    long late() {
        return late;
    }
}
