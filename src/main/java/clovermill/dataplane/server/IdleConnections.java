package clovermill.dataplane.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The connections without open requests, the longest idle first. Bounds the descriptors held by clients that sent one
 * request and stay, and by those that connect and send nothing: they are closed after a timeout, or earlier where a new
 * connection needs the descriptor.
 */
final class IdleConnections {

    /** Clients close idle connections after 4 s themselves; one that is open longer has been abandoned. */
    private static final long IDLE_TIMEOUT_US = 5_000_000;
    /** Time from the connect to the first complete frame, and from any frame's first byte to its last. */
    static final long FIRST_FRAME_US = 2_000_000;
    /**
     * A client that has just connected is about to send: an eviction would lose its request, while that of an idle
     * connection costs its client another connect.
     */
    private static final long JUST_OPENED_US = 100_000;

    private final Map<FrameConnection, Long> silent = new LinkedHashMap<>();
    private final Map<FrameConnection, Long> idle = new LinkedHashMap<>();

    /** Adds a connection that was accepted and has sent nothing yet. */
    void addOpened(FrameConnection connection, long nowUs) {
        silent.put(connection, nowUs);
    }

    /** A connection has no open requests any more. */
    void markIdle(FrameConnection connection, long nowUs) {
        remove(connection);
        idle.put(connection, nowUs);
    }

    /** A connection has an open request, or was closed. */
    void remove(FrameConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
    }

    /** Closes the connections whose timeout has passed. */
    void closeExpired(long nowUs) {
        while (evictEldest(silent, nowUs - FIRST_FRAME_US)
                || evictEldest(idle, nowUs - IDLE_TIMEOUT_US)) {
            continue;
        }
    }

    /** Closes one connection if any is idle: a silent one first, one that has just been opened last. */
    void evictOne(long nowUs) {
        if (!evictEldest(silent, nowUs - JUST_OPENED_US) && !evictEldest(idle, nowUs)) {
            evictEldest(silent, nowUs);
        }
    }

    /** Closes the eldest that is idle since {@code sinceUs} or earlier; one found to be in use is passed over. */
    private static boolean evictEldest(Map<FrameConnection, Long> from, long sinceUs) {
        for (int remaining = from.size(); remaining > 0; remaining--) {
            Map.Entry<FrameConnection, Long> eldest = from.entrySet().iterator().next();
            FrameConnection connection = eldest.getKey();
            if (eldest.getValue() > sinceUs) {
                return false;
            }
            from.remove(connection);
            if (connection.evict()) {
                return true;
            }
        }
        return false;
    }
}
