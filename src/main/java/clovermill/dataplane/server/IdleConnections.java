package clovermill.dataplane.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The connections without open requests, longest idle first. Limits the descriptors used by clients that stay connected
 * after a request or that never send one: their connections are closed after a timeout, or earlier when a new
 * connection needs the descriptor. A connection is idle only once its client's system has acknowledged the responses:
 * until then the client may be reading them, and a close would lose them with the client's next request.
 */
final class IdleConnections {

    /** Clients close idle connections after 4 s themselves; a connection idle for longer has been abandoned. */
    private static final long IDLE_TIMEOUT_US = 5_000_000;
    /** Time after the last response from which its delivery is watched, and from the delivery to the close. */
    private static final long DELIVERY_WATCH_US = IDLE_TIMEOUT_US / 2;
    /** A client that has not taken its responses for as long has stopped reading. */
    private static final long MAX_DELIVERY_US = 60_000_000;
    /** Limit from the connect to the first complete frame, and from the first byte of any frame to its last. */
    static final long FRAME_TIMEOUT_US = 2_000_000;
    /**
     * A client that has just connected is about to send a request, which an eviction would lose; evicting an idle
     * connection only costs its client another connect.
     */
    private static final long JUST_OPENED_US = 100_000;

    private final Map<FrameConnection, Long> awaitingFirstFrame = new LinkedHashMap<>();
    /** The connections whose responses were written, by the time of the last response. */
    private final Map<FrameConnection, Long> answered = new LinkedHashMap<>();
    /** Those of them whose delivery is watched, by the same time. */
    private final Map<FrameConnection, Long> watched = new LinkedHashMap<>();
    /** The connections whose responses were delivered, by the time from which their timeout counts. */
    private final Map<FrameConnection, Long> idle = new LinkedHashMap<>();
    /** The number of connections to close as soon as they are idle. */
    private int pendingEvictions;

    /** Adds an accepted connection on which no complete frame has been received. */
    void addOpened(FrameConnection connection, long nowUs) {
        awaitingFirstFrame.put(connection, nowUs);
    }

    /** Adds a connection whose last open request has completed and whose responses were written to the socket. */
    void addAnswered(FrameConnection connection, long nowUs) {
        remove(connection);
        answered.put(connection, nowUs);
        if (pendingEvictions > 0) {
            watchAnswered(nowUs);
        }
    }

    /** Marks a connection as idle if its delivery was watched; closes it at once if a new connection waits for that. */
    void markDelivered(FrameConnection connection, long nowUs) {
        Long answeredUs = watched.remove(connection);
        if (answeredUs == null) {
            return;
        }
        idle.put(connection, Math.max(answeredUs + DELIVERY_WATCH_US, nowUs));
        if (pendingEvictions > 0) {
            evictIdle();
        }
    }

    /** Removes a connection that has an open request. */
    void remove(FrameConnection connection) {
        awaitingFirstFrame.remove(connection);
        answered.remove(connection);
        watched.remove(connection);
        idle.remove(connection);
    }

    /** Removes a connection that was closed. */
    void removeClosed(FrameConnection connection) {
        remove(connection);
        pendingEvictions = Math.max(0, pendingEvictions - 1);
    }

    /** Closes the connections whose timeout has passed. */
    void closeExpired(long nowUs) {
        watchAnswered(nowUs - DELIVERY_WATCH_US);
        while (evictOldest(awaitingFirstFrame, nowUs - FRAME_TIMEOUT_US)
                || evictOldest(idle, nowUs - DELIVERY_WATCH_US)
                || closeOldestUndelivered(nowUs - MAX_DELIVERY_US)) {
            continue;
        }
    }

    /** Watches the delivery on the connections whose last response was written at {@code writtenUs} or earlier. */
    private void watchAnswered(long writtenUs) {
        while (!answered.isEmpty() && oldest(answered).getValue() <= writtenUs) {
            Map.Entry<FrameConnection, Long> oldest = oldest(answered);
            FrameConnection connection = oldest.getKey();
            watched.put(connection, oldest.getValue());
            answered.remove(connection);
            connection.watchDelivery();
        }
    }

    private boolean closeOldestUndelivered(long answeredUs) {
        if (watched.isEmpty() || oldest(watched).getValue() > answeredUs) {
            return false;
        }
        FrameConnection connection = oldest(watched).getKey();
        watched.remove(connection);
        connection.closeUndelivered();
        return true;
    }

    /**
     * Closes one idle connection, if any: preferably one that never sent a frame, a just opened one only as a last
     * resort. If it is not known whether any is idle, the first that is found to be so is closed then.
     */
    void evictOne(long nowUs) {
        if (evictOldest(awaitingFirstFrame, nowUs - JUST_OPENED_US) || evictIdle()) {
            return;
        }
        if (answered.isEmpty() && watched.isEmpty()) {
            evictOldest(awaitingFirstFrame, nowUs);
        } else {
            pendingEvictions++;
            watchAnswered(nowUs);
        }
    }

    private boolean evictIdle() {
        return evictOldest(idle, Long.MAX_VALUE);
    }

    private static Map.Entry<FrameConnection, Long> oldest(Map<FrameConnection, Long> from) {
        return from.entrySet().iterator().next();
    }

    /**
     * Closes the longest idle connection if it has been idle since {@code sinceUs} or earlier; skips connections found
     * to be in use.
     */
    private static boolean evictOldest(Map<FrameConnection, Long> from, long sinceUs) {
        for (int remaining = from.size(); remaining > 0; remaining--) {
            Map.Entry<FrameConnection, Long> oldest = oldest(from);
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
