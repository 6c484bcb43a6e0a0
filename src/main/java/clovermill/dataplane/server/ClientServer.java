package clovermill.dataplane.server;

import java.io.IOException;

/** A server by whose protocol clients reach the director; it passes their requests to the one proxy core. */
public interface ClientServer {

    /** Starts to listen; fails if the address cannot be bound. */
    void open() throws IOException;

    /** Whether new connections are accepted and the director can serve them. */
    boolean isReady();

    /**
     * Asks clients to send no new requests; requests that come nevertheless are served. No new connection is accepted
     * from here on where another process accepts from the same socket.
     */
    void announceShutdown();

    /** Stops accepting, after the connections that wait in the backlog; open connections continue. */
    void stopAccepting();

    /**
     * Closes all connections without open requests. New requests are rejected from now on if {@code rejectNew}. If
     * {@code force}, requests that have arrived are answered and all connections closed; the next forced call also
     * closes those whose clients do not read their answers.
     */
    void closeConnections(boolean rejectNew, boolean force);

    /** Whether no client is connected. */
    boolean isEmpty();
}
