package clovermill.front;

import java.io.IOException;

/**
 * A protocol by which clients reach the director. Whatever it is, it hands its requests to the one host and
 * so goes through the same decisions and rules.
 */
public interface Front {

    /** Starts to listen. */
    void open() throws IOException;

    /** Whether it takes new connections and the director can serve them. */
    boolean ready();

    /**
     * Tells clients to send nothing new, and goes on serving what comes all the same. Where another process
     * accepts from the same socket, no new connection is taken from here on.
     */
    void leave();

    /** Takes no new connections beyond those that have come up to now; those that are open go on. */
    void shut();

    /**
     * Ends each connection on which nothing taken is open. New requests are turned away from now on if {@code
     * turningAway}. If {@code cuttingOff}, what has come is answered and what is left is closed, at the call after that
     * also on clients that do not read.
     */
    void part(boolean turningAway, boolean cuttingOff);

    /** Whether no client is connected. */
    boolean empty();
}
