package clovermill.front;

import clovermill.net.Clock;
import clovermill.net.Connection;

/**
 * Stops and resumes the reading of a client, and bounds when what is read arrived. A request's time runs from its last
 * byte; what lay in the machine while nothing was read may have come at any moment of that pause, so the pause's begin
 * counts: the deadline told to a server must not exceed what the client has left.
 */
final class ReadPause {

    /** After a pause so long in microseconds passes until all that lay in the machine has surely been read. */
    private static final long DRAIN_MICROS = 50_000;

    private final Connection connection;
    private final Clock clock;
    private boolean paused;
    private long sinceMicros;
    private long drainedMicros = Long.MIN_VALUE;

    ReadPause(Connection connection, Clock clock) {
        this.connection = connection;
        this.clock = clock;
    }

    void pause() {
        connection.pause();
        if (!paused) {
            paused = true;
            sinceMicros = draining() ? sinceMicros : clock.micros();
        }
    }

    void resume() {
        connection.resume();
        if (paused) {
            paused = false;
            drainedMicros = clock.micros() + DRAIN_MICROS;
        }
    }

    /** When what is read now arrived at the earliest, in microseconds of the clock. */
    long arrivedMicros() {
        return paused || draining() ? sinceMicros : clock.micros();
    }

    private boolean draining() {
        return clock.micros() < drainedMicros;
    }
}
