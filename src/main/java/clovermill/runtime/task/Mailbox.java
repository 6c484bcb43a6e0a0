package clovermill.runtime.task;

/**
 * Where messages for a task go. Nobody waits for another's mailbox: at a full one the sender drops the message, or
 * refuses what it stands for, and may count that.
 */
@FunctionalInterface
public interface Mailbox<M> {

    /** Hands over a message; false if there is no room, or the task has ended. */
    boolean offer(M message);
}
