package clovermill.simulation.emulator;

import java.util.PriorityQueue;

/** Actions by the time at which each is due; those of one time run in the order in which they were added. */
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

    /** Runs what is due until a time, also what the actions add meanwhile. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            events.poll().action.run();
        }
    }
}
