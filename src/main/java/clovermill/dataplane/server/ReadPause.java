package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;

/**
 * Pauses and resumes the reading of a client, and bounds when the bytes that are read arrived. A request's deadline
 * counts from its last byte. Bytes that waited in the socket may have arrived at any time during the pause, so its
 * beginning is used: the deadline passed to a server must not exceed the time that the client has left.
 */
final class ReadPause {

    /** After a pause of any length all bytes that waited in the socket have been read by then. */
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

    /** Lower bound of when the bytes read now arrived, in microseconds of the clock. */
    long arrivedUs() {
        return paused || isDraining() ? pausedSinceUs : clock.micros();
    }

    private boolean isDraining() {
        return clock.micros() < drainedUs;
    }
}
