package clovermill.dataplane.upstream;

import clovermill.routing.api.Result;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The connections to one member at one address. Selects the connection for a request. */
final class MemberConnections {

    /** Open exchanges on the best connection at which a further one is dialled. */
    private static final int DIAL_THRESHOLD = 2;

    private final InetSocketAddress address;
    private final long startedMs;
    private final List<UpstreamConnection> connections = new ArrayList<>();

    /** Creates an empty set; {@code startedMs} is the start time that the member reports, in Unix milliseconds. */
    MemberConnections(InetSocketAddress address, long startedMs) {
        this.address = address;
        this.startedMs = startedMs;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns whether the member is still at this address and has not been restarted. */
    boolean isAt(InetSocketAddress currentAddress, long currentStartedMs) {
        return address.equals(currentAddress) && startedMs == currentStartedMs;
    }

    void add(UpstreamConnection connection) {
        connections.add(connection);
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Returns the connection added last. */
    UpstreamConnection newest() {
        return connections.get(connections.size() - 1);
    }

    /** Returns a copy, for callbacks that close connections. */
    List<UpstreamConnection> snapshot() {
        return List.copyOf(connections);
    }

    /**
     * Returns the connection that accepts a request with this id and has the fewest open exchanges, preferring
     * established connections; null if there is none.
     */
    UpstreamConnection best(String id, int maxStreams) {
        UpstreamConnection best = null;
        for (int i = 0; i < connections.size(); i++) {
            UpstreamConnection connection = connections.get(i);
            if (connection.accepts(id, maxStreams) && (best == null || isBetter(connection, best))) {
                best = connection;
            }
        }
        return best;
    }

    private static boolean isBetter(UpstreamConnection connection, UpstreamConnection best) {
        if (connection.isConnected() != best.isConnected()) {
            return connection.isConnected();
        }
        return connection.openExchanges() < best.openExchanges();
    }

    /**
     * Returns whether a further connection should be dialled. A malformed response closes its connection and fails
     * every exchange on it, so no connection should carry more than a few.
     *
     * @param best the best existing connection, or null
     */
    boolean needsFurtherConnection(UpstreamConnection best, int maxConnections) {
        int inUse = 0;
        boolean dialling = false;
        for (int i = 0; i < connections.size(); i++) {
            UpstreamConnection connection = connections.get(i);
            if (!connection.isRetired()) {
                inUse++;
                dialling |= !connection.isConnected();
            }
        }
        boolean bestSuffices = best != null && (dialling || best.openExchanges() < DIAL_THRESHOLD);
        return !bestSuffices && inUse < maxConnections;
    }

    /** Ends the matching queued exchanges with {@code result}; stops writing those that are partly written. */
    void withdraw(Predicate<UpstreamExchange> matches, Result result) {
        for (UpstreamConnection connection : snapshot()) {
            connection.withdraw(matches, result);
        }
    }

    void closeIdle() {
        snapshot().forEach(UpstreamConnection::closeIfIdle);
    }

    /** Retires all connections and ends the queued exchanges; those that have begun may still be answered. */
    void retire() {
        for (UpstreamConnection connection : snapshot()) {
            connection.withdraw(each -> true, Result.CONNECT_FAILED);
            connection.retire();
        }
    }
}
