package clovermill.runtime.task;

/**
 * A part that takes messages one after another, on one thread at a time. What it decides sits in classes without I/O;
 * it only moves messages. A fault that it throws ends it, and its owner hears of that.
 *
 * @param <M> its messages, immutable
 */
public interface Task<M> {

    /** Takes one message. */
    void on(M message, long nowUs);

    /** Does what is due; returns when it is to be called again at the latest, in microseconds of the same clock. */
    long tick(long nowUs);

    /** The owner ends it: the last call, after every message that was taken. */
    default void stop(long nowUs) {}
}
