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

    /** Takes no new connections any more; those that are open go on. */
    void shut();

    /** Whether every answer has been written. */
    boolean quiet();

    /** Whether no client is connected. */
    boolean empty();
}
