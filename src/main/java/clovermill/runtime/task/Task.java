package clovermill.runtime.task;

/**
 * Handles messages one after another, on one thread at a time. It only moves messages; decisions are made by classes
 * without I/O. An exception ends the task and is reported to its owner.
 *
 * @param <M> its messages, immutable
 */
public interface Task<M> {

    /** Handles one message at {@code nowUs} of the monotonic clock. */
    void on(M message, long nowUs);

    /** Does the work that is due; returns the time by which to call it again, in microseconds of the same clock. */
    long tick(long nowUs);

    /** Ends the task; the last call, after every accepted message was handled. */
    default void stop(long nowUs) {}
}
