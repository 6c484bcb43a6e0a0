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
 * Machines, each with a clock of its own that is off and runs a little fast or slow, and one task while it is up. Links
 * between them delay, lose, repeat, and can be cut each way. Time is true time in microseconds from 0.
 *
 * @param <M> what the tasks take
 */
public final class World<M> {

    private record Event(long atUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    /** One machine; what reaches it while it is stopped waits, what reaches it while it is down is lost. */
    public final class Machine {
        private final int number;
        private final double pace;
        private final long offsetUs;
        private Task<M> task;
        private long life;
        private long stoppedUntilUs;
        private long tickAtUs = Long.MAX_VALUE;

        private Machine(int number, double drift) {
            this.number = number;
            this.pace = 1 + drift * (2 * random.nextDouble() - 1);
            this.offsetUs = (long) (random.nextDouble() * 1e8);
        }

        /** This machine's clock. */
        public long clock() {
            return offsetUs + (long) (nowUs * pace);
        }

        /** Whether its task runs, and is not stopped. */
        public boolean up() {
            return task != null && nowUs >= stoppedUntilUs;
        }

        /** Whether it has a task, maybe a stopped one. */
        public boolean alive() {
            return task != null;
        }

        /** Starts a task, which is given the time by this machine's clock. */
        public void start(LongFunction<Task<M>> made) {
            life++;
            stoppedUntilUs = 0;
            tickAtUs = Long.MAX_VALUE;
            task = made.apply(clock());
            tick(life);
        }

        /** Its process dies, with all that it did not put on its disk. */
        public void kill() {
            life++;
            task = null;
        }

        /** It stands still for a while, its clock does not. */
        public void stop(long forUs) {
            stoppedUntilUs = Math.max(stoppedUntilUs, nowUs + forUs);
        }

        /** Hands it a message from its own machine. */
        public void hand(M message) {
            if (task != null) {
                arrive(life, message);
            }
        }

        private void arrive(long ofLife, M message) {
            if (ofLife != life || task == null) {
                return;
            }
            if (nowUs < stoppedUntilUs) {
                at(stoppedUntilUs, () -> arrive(ofLife, message));
                return;
            }
            task.on(message, clock());
            tick(life);
        }

        private void tick(long ofLife) {
            if (ofLife != life || task == null) {
                return;
            }
            if (nowUs < stoppedUntilUs) {
                at(stoppedUntilUs, () -> tick(ofLife));
                return;
            }
            long next = task.tick(clock());
            long afterUs = next == Long.MAX_VALUE ? Long.MAX_VALUE / 4 : (long) Math.ceil((next - clock()) / pace) + 1;
            long atUs = nowUs + Math.max(100, afterUs);
            if (atUs < tickAtUs || tickAtUs <= nowUs) {
                tickAtUs = atUs;
                at(atUs, () -> {
                    if (tickAtUs == atUs || tickAtUs <= nowUs) {
                        tick(ofLife);
                    }
                });
            }
        }
    }

    private final Random random;
    private final List<Machine> machines = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    /** Links that are cut, as {@code from * count + to}. */
    private final Set<Integer> cut = new HashSet<>();
    private long nowUs;
    private long order;
    private double loss;
    private long delayUs = 2000;
    private long sent;

    /** So many machines, whose clocks run wrong by up to {@code drift}. */
    public World(int count, double drift, long seed) {
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            machines.add(new Machine(i, drift));
        }
    }

    /** A machine by its number. */
    public Machine machine(int number) {
        return machines.get(number);
    }

    /** How many there are. */
    public int size() {
        return machines.size();
    }

    /** True time. */
    public long nowUs() {
        return nowUs;
    }

    /** Messages that were sent between machines. */
    public long sent() {
        return sent;
    }

    /** The source of all chance here. */
    public Random random() {
        return random;
    }

    /** How much is lost from now on, and the longest time on the way. */
    public void links(double lost, long longestUs) {
        loss = lost;
        delayUs = longestUs;
    }

    /** Cuts or mends the way from one machine to another, and not the way back. */
    public void cut(int from, int to, boolean off) {
        int link = from * machines.size() + to;
        if (off) {
            cut.add(link);
        } else {
            cut.remove(link);
        }
    }

    /** Mends all links. */
    public void mend() {
        cut.clear();
    }

    /** A message leaves a machine; what goes to the machine itself is not lost. */
    public void send(int from, int to, M message) {
        sent++;
        boolean own = from == to;
        int copies = own ? 1 : random.nextDouble() < loss ? 0 : random.nextDouble() < 0.02 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long onWayUs = own ? 10 : 50 + (long) (random.nextDouble() * delayUs);
            at(nowUs + onWayUs, () -> {
                if (own || !cut.contains(from * machines.size() + to)) {
                    Machine machine = machines.get(to);
                    machine.arrive(machine.life, message);
                }
            });
        }
    }

    /** Has something done at a time. */
    public void at(long atUs, Runnable what) {
        events.add(new Event(Math.max(nowUs, atUs), order++, what));
    }

    /** Lets time pass up to a moment. */
    public void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.what.run();
        }
        nowUs = untilUs;
    }
}
