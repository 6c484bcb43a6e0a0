package clovermill.simulation.emulator;

import java.util.PriorityQueue;

/** A queue of actions ordered by due time; actions with the same due time run in insertion order. */
final class EventQueue {

    private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextOrder;

    void add(long atUs, Runnable action) {
        events.add(new Event(atUs, nextOrder++, action));
    }

    /** Runs all actions that are due by the given time, including those added by the actions themselves. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            events.poll().action.run();
        }
    }
}
