package clovermill.prove.capacity;

import java.util.concurrent.locks.LockSupport;

/** Measures how late short sleeps end; they end late on a machine without a free core. */
final class TimerLateness {

    private static final long STEP_NS = 5_000_000;
    private static final double NS_PER_MS = 1e6;

    private TimerLateness() {}

    /** Sleeps in short steps for {@code durationMs} and returns the largest overrun of a step in milliseconds. */
    static double maxLatenessMs(long durationMs) {
        long untilNs = System.nanoTime() + durationMs * (long) NS_PER_MS;
        long maxLatenessNs = 0;
        for (long fromNs = System.nanoTime(); fromNs < untilNs; fromNs = System.nanoTime()) {
            LockSupport.parkNanos(STEP_NS);
            maxLatenessNs = Math.max(maxLatenessNs, System.nanoTime() - fromNs - STEP_NS);
        }
        return maxLatenessNs / NS_PER_MS;
    }
}
