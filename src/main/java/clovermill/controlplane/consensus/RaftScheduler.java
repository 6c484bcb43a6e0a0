package clovermill.controlplane.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * What MicroRaft wants done, in the turns of the task that owns it. MicroRaft counts its heartbeats in whole seconds,
 * too long for a fleet that wants a new leader within one: it is given a clock that runs {@link #PACE} times as fast.
 */
public final class RaftScheduler extends Clock implements RaftNodeExecutor {

    /** Seconds of MicroRaft's in one of ours. */
    public static final long PACE = 10;

    private record Item(long atUs, long number, Runnable work) implements Comparable<Item> {
        @Override
        public int compareTo(Item other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Item> items = new PriorityQueue<>();
    private long number;
    private long nowUs;

    /** A scheduler without work at a moment of the owner's clock, in microseconds. */
    public RaftScheduler(long nowUs) {
        this.nowUs = nowUs;
    }

    /** Does what is due; returns when the next is, or {@link Long#MAX_VALUE}. */
    public long run(long now) {
        nowUs = Math.max(nowUs, now);
        while (!items.isEmpty() && items.peek().atUs <= nowUs) {
            items.poll().work.run();
        }
        return items.isEmpty() ? Long.MAX_VALUE : items.peek().atUs;
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
        return nowUs * PACE / 1000;
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
