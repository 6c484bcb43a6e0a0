package clovermill.simulation.emulator.world;

import clovermill.runtime.task.Task;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongFunction;

/**
 * A set of machines, each with its own clock, which is offset and drifts, and with one task while it runs. Links
 * between machines delay, lose and duplicate messages, and can be cut in each direction. Time is true time in
 * microseconds, starting at 0. Not thread-safe.
 *
 * @param <M> the type of the tasks' messages
 */
public final class World<M> {

    private static final double MAX_CLOCK_OFFSET_US = 1e8;
    private static final double DUPLICATE_RATE = 0.02;
    private static final long LOOPBACK_DELAY_US = 10;
    private static final long MIN_DELAY_US = 50;
    private static final long MIN_TICK_INTERVAL_US = 100;
    /** The maximum latency, in addition to the minimum, until {@link #links} changes it. */
    private static final long INITIAL_MAX_DELAY_US = 2000;

    private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    /** A machine. Messages that arrive while it is paused are delivered afterwards; while it is down, they are lost. */
    public final class Machine {
        private final double clockRate;
        private final long offsetUs;
        private Task<M> task;
        private long incarnation;
        private long pausedUntilUs;
        private long nextTickUs = Long.MAX_VALUE;

        private Machine(double drift) {
            this.clockRate = 1 + drift * (2 * random.nextDouble() - 1);
            this.offsetUs = (long) (random.nextDouble() * MAX_CLOCK_OFFSET_US);
        }

        /** Returns the time of this machine's clock. */
        public long clock() {
            return offsetUs + (long) (nowUs * clockRate);
        }

        /** Returns whether its task runs and is not paused. */
        public boolean up() {
            return task != null && nowUs >= pausedUntilUs;
        }

        /** Returns whether it has a task, which may be paused. */
        public boolean alive() {
            return task != null;
        }

        /** Starts a task; the factory receives the time of this machine's clock. */
        public void start(LongFunction<Task<M>> factory) {
            incarnation++;
            pausedUntilUs = 0;
            nextTickUs = Long.MAX_VALUE;
            task = factory.apply(clock());
            tick(incarnation);
        }

        /** Kills its process; all state that is not on its disk is lost. */
        public void kill() {
            incarnation++;
            task = null;
        }

        /** Pauses its process; its clock keeps running. */
        public void pause(long durationUs) {
            pausedUntilUs = Math.max(pausedUntilUs, nowUs + durationUs);
        }

        /** Delivers a message from the same process immediately. */
        public void deliver(M message) {
            if (task != null) {
                receive(incarnation, message);
            }
        }

        private void receive(long expectedIncarnation, M message) {
            if (expectedIncarnation != incarnation || task == null) {
                return;
            }
            if (nowUs < pausedUntilUs) {
                at(pausedUntilUs, () -> receive(expectedIncarnation, message));
                return;
            }
            task.on(message, clock());
            tick(incarnation);
        }

        private void tick(long expectedIncarnation) {
            if (expectedIncarnation != incarnation || task == null) {
                return;
            }
            if (nowUs < pausedUntilUs) {
                at(pausedUntilUs, () -> tick(expectedIncarnation));
                return;
            }
            long next = task.tick(clock());
            long afterUs =
                    next == Long.MAX_VALUE ? Long.MAX_VALUE / 4 : (long) Math.ceil((next - clock()) / clockRate) + 1;
            long atUs = nowUs + Math.max(MIN_TICK_INTERVAL_US, afterUs);
            if (atUs < nextTickUs || nextTickUs <= nowUs) {
                nextTickUs = atUs;
                at(atUs, () -> {
                    if (nextTickUs == atUs || nextTickUs <= nowUs) {
                        tick(expectedIncarnation);
                    }
                });
            }
        }
    }

    private final Random random;
    private final List<Machine> machines = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    /** Links that are cut, as {@code from * count + to}. */
    private final Set<Integer> cutLinks = new HashSet<>();
    private long nowUs;
    private long order;
    private double loss;
    private long maxDelayUs = INITIAL_MAX_DELAY_US;
    private long sent;

    /** Creates {@code count} machines, whose clocks drift by up to {@code drift}. */
    public World(int count, double drift, long seed) {
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            machines.add(new Machine(drift));
        }
    }

    /** Returns a machine by its number. */
    public Machine machine(int number) {
        return machines.get(number);
    }

    /** Returns the number of machines. */
    public int size() {
        return machines.size();
    }

    /** Returns the true time. */
    public long nowUs() {
        return nowUs;
    }

    /** Returns the number of messages that were sent. */
    public long sent() {
        return sent;
    }

    /** Returns the source of all randomness. */
    public Random random() {
        return random;
    }

    /** Sets the share of messages that are lost from now on, and the maximum latency. */
    public void links(double newLoss, long newMaxDelayUs) {
        loss = newLoss;
        maxDelayUs = newMaxDelayUs;
    }

    /** Cuts or restores one direction of a link. */
    public void cut(int from, int to, boolean disconnected) {
        int link = from * machines.size() + to;
        if (disconnected) {
            cutLinks.add(link);
        } else {
            cutLinks.remove(link);
        }
    }

    /** Restores all cut links. */
    public void restoreLinks() {
        cutLinks.clear();
    }

    /** Sends a message; a message to the sender itself is not lost. */
    public void send(int from, int to, M message) {
        sent++;
        boolean loopback = from == to;
        int copies = loopback ? 1 : random.nextDouble() < loss ? 0 : random.nextDouble() < DUPLICATE_RATE ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long latencyUs = loopback ? LOOPBACK_DELAY_US : MIN_DELAY_US + (long) (random.nextDouble() * maxDelayUs);
            at(nowUs + latencyUs, () -> {
                if (loopback || !cutLinks.contains(from * machines.size() + to)) {
                    Machine machine = machines.get(to);
                    machine.receive(machine.incarnation, message);
                }
            });
        }
    }

    /** Schedules an action. */
    public void at(long atUs, Runnable action) {
        events.add(new Event(Math.max(nowUs, atUs), order++, action));
    }

    /** Runs all events that are due by the given time. */
    public void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.action.run();
        }
        nowUs = untilUs;
    }
}
