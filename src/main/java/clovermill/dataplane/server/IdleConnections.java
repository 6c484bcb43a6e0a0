package clovermill.dataplane.server;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The connections to which nothing is owed, the longest idle first. Guards the descriptors against clients
 * that ask once and stay for good, and against those that connect by the hundred and say nothing: both are
 * let go after a while, and sooner where a new connection needs their place.
 */
final class IdleConnections {

    /** Clients close idle connections after 4 s; one that is still there later has been left behind. */
    private static final long IDLE_US = 5_000_000;
    /** What has not brought a whole frame by then, in one go or bit by bit, is no usual client. */
    static final long SILENT_US = 2_000_000;
    /**
     * Whoever has just connected is about to ask: closing that costs the request, while an idle connection
     * costs its client another connect.
     */
    private static final long JUST_COME_US = 100_000;

    private final Map<FrameConnection, Long> silent = new LinkedHashMap<>();
    private final Map<FrameConnection, Long> idle = new LinkedHashMap<>();

    /** A connection that has only come up. */
    void came(FrameConnection connection, long nowUs) {
        silent.put(connection, nowUs);
    }

    /** A connection to which nothing is owed from now on. */
    void rests(FrameConnection connection, long nowUs) {
        busy(connection);
        idle.put(connection, nowUs);
    }

    /** A connection with a request, or one that is closed. */
    void busy(FrameConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
    }

    /** Lets those go whose time is over. */
    void sweep(long nowUs) {
        while (letGo(silent, nowUs - SILENT_US) || letGo(idle, nowUs - IDLE_US)) {
            continue;
        }
    }

    /** Gives one place free, if any can be: that of a silent one first, but of one that has just come last. */
    void makeRoom(long nowUs) {
        if (!letGo(silent, nowUs - JUST_COME_US) && !letGo(idle, nowUs)) {
            letGo(silent, nowUs);
        }
    }

    /** Lets the eldest go of those that rest since then or longer; one on which something has come is passed over. */
    private static boolean letGo(Map<FrameConnection, Long> from, long sinceUs) {
        for (int left = from.size(); left > 0; left--) {
            Map.Entry<FrameConnection, Long> eldest = from.entrySet().iterator().next();
            FrameConnection connection = eldest.getKey();
            if (eldest.getValue() > sinceUs) {
                return false;
            }
            from.remove(connection);
            if (connection.letGo()) {
                return true;
            }
        }
        return false;
    }
}
