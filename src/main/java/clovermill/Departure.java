package clovermill;

import clovermill.front.Front;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import java.util.function.LongSupplier;

/**
 * A planned restart: clients are told to go, what they still send for a while is served like all else, and
 * the process ends when every request it has taken is answered. One that hands over to another process also
 * waits a while for its clients to close their connections.
 */
final class Departure {

    /** Connections still arrive for up to 0.4 s after the signal, and requests on them for 0.2 s more. */
    private static final long LINGER_US = 700_000;
    private static final long CHECK_US = 10_000;
    /**
     * How long a process that hands over waits for its clients to go by themselves: closing on one that just
     * writes costs the request. The platform kills no sooner than the longest deadline, or 3 s, and 0.7 s more.
     */
    private static final long MOST_PATIENCE_US = 3_000_000;
    private static final long BEYOND_US = 300_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Front front;
    private final LongSupplier longestUs;
    private long patientUntilUs;

    /** {@code longestUs} gives the longest deadline of a request where another process takes over, else 0. */
    Departure(EventLoop loop, Clock clock, Deadlines deadlines, Front front, LongSupplier longestUs) {
        this.longestUs = longestUs;
        this.loop = loop;
        this.clock = clock;
        this.deadlines = deadlines;
        this.front = front;
    }

    void begin() {
        front.leave();
        long openUs = longestUs.getAsLong();
        patientUntilUs = clock.micros() + (openUs == 0 ? 0 : Math.min(openUs, MOST_PATIENCE_US) + BEYOND_US);
        deadlines.add(clock.micros() + LINGER_US, this::shut);
    }

    private void shut() {
        front.shut();
        endWhenQuiet();
    }

    private void endWhenQuiet() {
        if (front.quiet() && (front.empty() || clock.micros() >= patientUntilUs)) {
            loop.stop();
        } else {
            deadlines.add(clock.micros() + CHECK_US, this::endWhenQuiet);
        }
    }
}
