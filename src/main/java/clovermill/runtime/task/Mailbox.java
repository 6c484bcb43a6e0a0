package clovermill.runtime.task;

/**
 * Accepts messages for a task. Sending never blocks: if the mailbox is full, the sender drops the message or rejects
 * the call that the message represents.
 *
 * @param <M> the task's messages, immutable
 */
@FunctionalInterface
public interface Mailbox<M> {

    /** Queues a message; returns false if the mailbox is full or the task has stopped. */
    boolean offer(M message);
}
