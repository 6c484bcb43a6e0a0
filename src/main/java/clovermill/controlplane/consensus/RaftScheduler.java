package clovermill.controlplane.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * MicroRaft's executor and clock, run by the ticks of the task that owns the replica. MicroRaft's heartbeat settings
 * are whole seconds, too coarse for a failover within one second: its clock runs {@link #PACE} times as fast as ours.
 */
public final class RaftScheduler extends Clock implements RaftNodeExecutor {

    /** MicroRaft's seconds in one of ours. */
    public static final long PACE = 10;
    private static final long MICROS_PER_MILLI = 1000;

    private record Item(long dueUs, long number, Runnable work) implements Comparable<Item> {
        @Override
        public int compareTo(Item other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Item> items = new PriorityQueue<>();
    private long number;
    private long nowUs;

    /** An empty scheduler; {@code nowUs} is the owner's clock. */
    public RaftScheduler(long nowUs) {
        this.nowUs = nowUs;
    }

    /** Runs what is due; returns when the next item is, or {@link Long#MAX_VALUE}. */
    public long run(long clockUs) {
        nowUs = Math.max(nowUs, clockUs);
        while (!items.isEmpty() && items.peek().dueUs <= nowUs) {
            items.poll().work.run();
        }
        return items.isEmpty() ? Long.MAX_VALUE : items.peek().dueUs;
    }

    @Override
    public void execute(Runnable work) {
        submit(work);
    }

    @Override
    public void submit(Runnable work) {
        items.add(new Item(nowUs, number++, work));
    }

    @Override
    public void schedule(Runnable work, long delay, TimeUnit unit) {
        items.add(new Item(nowUs + Math.max(0, unit.toMicros(delay)) / PACE, number++, work));
    }

    @Override
    public long millis() {
        return nowUs * PACE / MICROS_PER_MILLI;
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
