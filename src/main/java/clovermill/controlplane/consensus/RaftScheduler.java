package clovermill.controlplane.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * The executor and clock of MicroRaft, driven by the ticks of the task that owns the replica. MicroRaft's heartbeat
 * settings are whole seconds, which is too coarse for a failover within one second, so its clock runs {@link
 * #CLOCK_RATE} times as fast as real time.
 */
public final class RaftScheduler extends Clock implements RaftNodeExecutor {

    /** The number of MicroRaft's seconds in one second of real time. */
    public static final long CLOCK_RATE = 10;
    private static final long MICROS_PER_MILLI = 1000;

    private record ScheduledWork(long dueUs, long sequence, Runnable work) implements Comparable<ScheduledWork> {
        @Override
        public int compareTo(ScheduledWork other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledWork> queue = new PriorityQueue<>();
    private long sequence;
    private long nowUs;

    /** Creates an empty scheduler; {@code nowUs} is the current time of the owner's clock. */
    public RaftScheduler(long nowUs) {
        this.nowUs = nowUs;
    }

    /** Runs the work that is due; returns the time of the next, or {@link Long#MAX_VALUE} if there is none. */
    public long run(long clockUs) {
        nowUs = Math.max(nowUs, clockUs);
        while (!queue.isEmpty() && queue.peek().dueUs <= nowUs) {
            queue.poll().work.run();
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().dueUs;
    }

    @Override
    public void execute(Runnable work) {
        submit(work);
    }

    @Override
    public void submit(Runnable work) {
        queue.add(new ScheduledWork(nowUs, sequence++, work));
    }

    @Override
    public void schedule(Runnable work, long delay, TimeUnit unit) {
        queue.add(new ScheduledWork(nowUs + Math.max(0, unit.toMicros(delay)) / CLOCK_RATE, sequence++, work));
    }

    @Override
    public long millis() {
        return nowUs * CLOCK_RATE / MICROS_PER_MILLI;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
