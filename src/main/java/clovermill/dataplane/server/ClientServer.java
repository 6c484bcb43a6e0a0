package clovermill.dataplane.server;

import java.io.IOException;

/** A server for one client protocol. All servers of a director pass their requests to the same proxy core. */
public interface ClientServer {

    /** Starts listening; throws if the address cannot be bound. */
    void open() throws IOException;

    /** Returns whether new connections are accepted and the director can serve them. */
    boolean isReady();

    /**
     * Asks clients to send no new requests; requests that still arrive are served. If another process accepts from the
     * same socket, no new connections are accepted from now on.
     */
    void announceShutdown();

    /** Stops accepting once the backlog has been accepted; open connections continue. */
    void stopAccepting();

    /**
     * Closes all connections without open requests.
     *
     * @param rejectNew whether new requests are rejected from now on
     * @param force whether requests that have arrived are answered and all connections closed; the next forced call
     *        also closes those whose clients do not read their responses
     */
    void closeConnections(boolean rejectNew, boolean force);

    /** Returns whether no client is connected. */
    boolean isEmpty();
}
