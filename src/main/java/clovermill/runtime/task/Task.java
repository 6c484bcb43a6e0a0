package clovermill.runtime.task;

/**
 * Handles messages one after another, on one thread at a time. It only moves messages; decisions are made by classes
 * without I/O. An exception stops the task and is reported to its owner.
 *
 * @param <M> the task's messages, immutable
 */
public interface Task<M> {

    /** Handles one message at {@code nowUs} of the monotonic clock. */
    void on(M message, long nowUs);

    /** Does the due work; returns the time of the next call at the latest, in microseconds of the same clock. */
    long tick(long nowUs);

    /** Stops the task; the last call, after every accepted message was handled. */
    default void stop(long nowUs) {}
}
