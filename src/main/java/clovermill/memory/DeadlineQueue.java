package clovermill.memory;

import java.util.PriorityQueue;
import java.util.function.ToLongFunction;

/** What comes due, the earliest first; of those that are due at once, as a heap has them. */
public final class DeadlineQueue<T> {

    private final PriorityQueue<T> queue;
    private final ToLongFunction<T> dueUs;

    /** Ordered by what {@code dueUs} gives, which must not change. */
    public DeadlineQueue(ToLongFunction<T> dueUs) {
        this.dueUs = dueUs;
        this.queue = new PriorityQueue<>((one, other) -> Long.compare(dueUs.applyAsLong(one),
                dueUs.applyAsLong(other)));
    }

    /** One more. */
    public void add(T item) {
        queue.add(item);
    }

    /** Takes one out; whether it was there. */
    public boolean remove(T item) {
        return queue.remove(item);
    }

    /** Takes out the next that is due, or gives null. */
    public T due(long nowUs) {
        return queue.isEmpty() || dueUs.applyAsLong(queue.peek()) > nowUs ? null : queue.poll();
    }
}
