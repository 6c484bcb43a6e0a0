package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;

/**
 * Pauses and resumes reading from a client, and gives a lower bound for the arrival time of the bytes read. A request's
 * deadline counts from its last byte. Bytes waiting in the socket may have arrived at any time during the pause, so the
 * start of the pause is used: the deadline passed to a server must not exceed the time that the client has left.
 */
final class ReadPause {

    /** Time after a pause by which all bytes waiting in the socket have been read. */
    private static final long DRAIN_US = 50_000;

    private final Connection connection;
    private final Clock clock;
    private boolean paused;
    private long pausedSinceUs;
    private long drainedUs = Long.MIN_VALUE;

    ReadPause(Connection connection, Clock clock) {
        this.connection = connection;
        this.clock = clock;
    }

    void pause() {
        connection.pause();
        if (!paused) {
            paused = true;
            pausedSinceUs = isDraining() ? pausedSinceUs : clock.micros();
        }
    }

    void resume() {
        connection.resume();
        if (paused) {
            paused = false;
            drainedUs = clock.micros() + DRAIN_US;
        }
    }

    /** Returns a lower bound for the arrival time of the bytes read now, in microseconds of the clock. */
    long arrivedUs() {
        return paused || isDraining() ? pausedSinceUs : clock.micros();
    }

    private boolean isDraining() {
        return clock.micros() < drainedUs;
    }
}
