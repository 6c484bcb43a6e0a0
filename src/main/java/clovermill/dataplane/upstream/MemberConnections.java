package clovermill.dataplane.upstream;

import clovermill.routing.api.Result;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The connections to one member at one address, and the choice among them. */
final class MemberConnections {

    /** Open exchanges on the best connection from which on a further one is dialled. */
    private static final int DIAL_FURTHER_FROM = 2;

    private final InetSocketAddress address;
    private final long startedMs;
    private final List<UpstreamConnection> connections = new ArrayList<>();

    /** {@code startedMs} is the member's start as it reports it, in Unix milliseconds. */
    MemberConnections(InetSocketAddress address, long startedMs) {
        this.address = address;
        this.startedMs = startedMs;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether the member still listens there and has not been restarted. */
    boolean isOf(InetSocketAddress currentAddress, long currentStartedMs) {
        return address.equals(currentAddress) && startedMs == currentStartedMs;
    }

    void add(UpstreamConnection connection) {
        connections.add(connection);
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
    }

    /** The connection added last. */
    UpstreamConnection newest() {
        return connections.get(connections.size() - 1);
    }

    /** A copy, for callbacks that close connections. */
    List<UpstreamConnection> snapshot() {
        return List.copyOf(connections);
    }

    /**
     * The connection that accepts a request with this id and has the fewest open exchanges, established ones first;
     * null if there is none.
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
     * Whether a further connection should be dialled beside {@code best}, which may be null: a response that breaks its
     * connection fails every exchange on it, so that no connection is to carry more than a few.
     */
    boolean wantsFurther(UpstreamConnection best, int maxConnections) {
        int inUse = 0;
        boolean dialling = false;
        for (int i = 0; i < connections.size(); i++) {
            UpstreamConnection connection = connections.get(i);
            if (!connection.isRetired()) {
                inUse++;
                dialling |= !connection.isConnected();
            }
        }
        boolean sufficient = best != null && (dialling || best.openExchanges() < DIAL_FURTHER_FROM);
        return !sufficient && inUse < maxConnections;
    }

    /** Ends the matching queued exchanges with {@code result}; matching ones that are partly written must not go on. */
    void withdraw(Predicate<UpstreamExchange> matches, Result result) {
        for (UpstreamConnection connection : snapshot()) {
            connection.withdraw(matches, result);
        }
    }

    void closeIdle() {
        snapshot().forEach(UpstreamConnection::closeIfIdle);
    }

    /** Ends all queued exchanges as unconnected; those that have begun may still be answered. */
    void retire() {
        for (UpstreamConnection connection : snapshot()) {
            connection.withdraw(each -> true, Result.UNCONNECTED);
            connection.retire();
        }
    }
}
