package clovermill.routing.stats;

import java.util.PriorityQueue;
import java.util.function.ToLongFunction;

/**
 * A queue of items by deadline in microseconds, the earliest first; the order among equal deadlines is that of a
 * binary heap. Its owner bounds it. Not thread-safe.
 */
public final class DeadlineQueue<T> {

    private final PriorityQueue<T> queue;
    private final ToLongFunction<T> deadlineUs;

    /** Creates a queue ordered by {@code deadlineUs}, which must always return the same value for an item. */
    public DeadlineQueue(ToLongFunction<T> deadlineUs) {
        this.deadlineUs = deadlineUs;
        this.queue = new PriorityQueue<>((one, other) -> Long.compare(deadlineUs.applyAsLong(one),
                deadlineUs.applyAsLong(other)));
    }

    /** Adds an item. */
    public void add(T item) {
        queue.add(item);
    }

    /** Removes an item; returns whether it was in the queue. */
    public boolean remove(T item) {
        return queue.remove(item);
    }

    /** Removes and returns the next item whose deadline has passed, or returns null. */
    public T pollDue(long nowUs) {
        return queue.isEmpty() || deadlineUs.applyAsLong(queue.peek()) > nowUs ? null : queue.poll();
    }
}
