package clovermill.dataplane.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The connections without open requests, longest idle first. Limits the descriptors used by clients that stay connected
 * after a request or that never send one: their connections are closed after a timeout, or earlier when a new
 * connection needs the descriptor.
 */
final class IdleConnections {

    /** Clients close idle connections after 4 s themselves; a connection idle for longer has been abandoned. */
    private static final long IDLE_TIMEOUT_US = 5_000_000;
    /** Limit from the connect to the first complete frame, and from the first byte of any frame to its last. */
    static final long FRAME_TIMEOUT_US = 2_000_000;
    /**
     * A client that has just connected is about to send a request, which an eviction would lose; evicting an idle
     * connection only costs its client another connect.
     */
    private static final long JUST_OPENED_US = 100_000;

    private final Map<FrameConnection, Long> awaitingFirstFrame = new LinkedHashMap<>();
    private final Map<FrameConnection, Long> idle = new LinkedHashMap<>();

    /** Adds an accepted connection on which no complete frame has been received. */
    void addOpened(FrameConnection connection, long nowUs) {
        awaitingFirstFrame.put(connection, nowUs);
    }

    /** Marks a connection as idle: its last open request has completed. */
    void markIdle(FrameConnection connection, long nowUs) {
        remove(connection);
        idle.put(connection, nowUs);
    }

    /** Removes a connection that has an open request or was closed. */
    void remove(FrameConnection connection) {
        awaitingFirstFrame.remove(connection);
        idle.remove(connection);
    }

    /** Closes the connections whose timeout has passed. */
    void closeExpired(long nowUs) {
        while (evictOldest(awaitingFirstFrame, nowUs - FRAME_TIMEOUT_US)
                || evictOldest(idle, nowUs - IDLE_TIMEOUT_US)) {
            continue;
        }
    }

    /**
     * Closes one idle connection, if any: preferably one that never sent a frame, a just opened one only as a last
     * resort.
     */
    void evictOne(long nowUs) {
        if (!evictOldest(awaitingFirstFrame, nowUs - JUST_OPENED_US) && !evictOldest(idle, nowUs)) {
            evictOldest(awaitingFirstFrame, nowUs);
        }
    }

    /**
     * Closes the longest idle connection if it has been idle since {@code sinceUs} or earlier; skips connections found
     * to be in use.
     */
    private static boolean evictOldest(Map<FrameConnection, Long> from, long sinceUs) {
        for (int remaining = from.size(); remaining > 0; remaining--) {
            Map.Entry<FrameConnection, Long> oldest = from.entrySet().iterator().next();
            FrameConnection connection = oldest.getKey();
            if (oldest.getValue() > sinceUs) {
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
