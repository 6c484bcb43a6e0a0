package clovermill.controlplane.eventlog.decide;

import clovermill.controlplane.eventlog.decide.EventLogMessage.Batch;
import clovermill.controlplane.eventlog.decide.EventLogMessage.Follow;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * A director's position in the log: follows one replica, applies each range once and in order, and fails over to
 * another replica when the one followed times out or cannot prove its log. As the position is a sequence number of the
 * log, not of a connection, a failover causes no gap and no duplicate. Times are microseconds. Not thread-safe.
 */
public final class Follower {

    /** A message to send to a replica. */
    public record Request(int replica, Follow follow) {}

    /** Counters since the start: events applied, gaps, duplicate events, failovers, truncated prefixes applied. */
    public record Counts(long applied, long gaps, long duplicates, long failovers, long truncations) {}

    /** The maximum number of early ranges, slightly over a window of full batches; the latest is dropped and resent. */
    private static final int MAX_EARLY_RANGES = 16;

    private final EventLogTiming timing;
    private final long incarnation;
    /** The replicas in failover order, the home replica first; shuffled for each director. */
    private final List<Integer> replicaOrder;
    private final FreshnessLease freshness;
    private final long returnHomeAfterUs;
    private int replicaIndex;
    private long requestId;
    private long logId;
    private long position;
    /**
     * Ranges that arrived before a preceding one, by their start position. If they were discarded, they would all be
     * resent at once and overtake each other again (docs/incidents/overtaken-batches.md).
     */
    private final TreeMap<Long, LogRange> earlyRanges = new TreeMap<>();
    private long lastResponseUs;
    private long followedSinceUs;
    private long nextRequestUs;
    private boolean acknowledgementDue;
    private long gaps;
    private long duplicates;
    private long failovers;
    private long applied;
    private long truncations;

    /**
     * Creates a follower with an empty copy of the log.
     *
     * @param replicas all replicas by number; the one at {@code self} modulo their count is followed first
     * @param incarnation a random number drawn at this start of the process
     */
    public Follower(EventLogTiming timing, int self, List<Integer> replicas, long incarnation, Random random,
            long nowUs) {
        this.timing = timing;
        this.incarnation = incarnation;
        this.freshness = new FreshnessLease(timing);
        List<Integer> shuffled = new ArrayList<>(replicas);
        Integer home = shuffled.remove(self % replicas.size());
        Collections.shuffle(shuffled, random);
        shuffled.add(0, home);
        this.replicaOrder = List.copyOf(shuffled);
        this.returnHomeAfterUs = (long) (timing.returnHomeDelayUs() * (0.75 + 0.5 * random.nextDouble()));
        this.lastResponseUs = nowUs;
        this.followedSinceUs = nowUs;
        this.nextRequestUs = nowUs;
    }

    /** Returns the replica that is followed. */
    public int replica() {
        return replicaOrder.get(replicaIndex);
    }

    /** Returns the sequence number up to which all entries have been applied. */
    public long position() {
        return position;
    }

    /** Returns the lease on the completeness of this copy. */
    public FreshnessLease freshness() {
        return freshness;
    }

    /** Returns the counters. */
    public Counts counts() {
        return new Counts(applied, gaps, duplicates, failovers, truncations);
    }

    /**
     * Applies a batch and returns the deliveries, in order. A batch of any replica is accepted, as all replicas have
     * the same log; one for another incarnation of this director is ignored.
     */
    public List<Delivery> receive(int from, Batch batch, long nowUs) {
        if (batch.incarnation() != incarnation || batch.logId() == 0) {
            return List.of();
        }
        List<Delivery> deliveries = new ArrayList<>();
        if (batch.logId() != logId) {
            switchLog(batch.logId(), deliveries);
        }
        if (from == replica()) {
            lastResponseUs = nowUs;
        }
        applyRange(batch.range(), deliveries);
        freshness.responseReceived(batch.requestId(), batch.provenHead(), batch.proofAgeUs(), nowUs);
        freshness.applied(position);
        return deliveries;
    }

    private void switchLog(long id, List<Delivery> deliveries) {
        if (logId != 0) {
            deliveries.add(new Delivery.LogReplaced(id));
            freshness.reset();
        }
        logId = id;
        position = 0;
        earlyRanges.clear();
    }

    /** Applies a range and the early ranges contiguous with it, or retains it while a range before it is missing. */
    private void applyRange(LogRange range, List<Delivery> deliveries) {
        if (range.from() > position) {
            gaps++;
            keepEarly(range);
            acknowledgementDue = true; // the replica resends from the acknowledged position
            return;
        }
        applyContiguous(range, deliveries);
        while (!earlyRanges.isEmpty() && earlyRanges.firstKey() <= position) {
            applyContiguous(earlyRanges.pollFirstEntry().getValue(), deliveries);
        }
    }

    private void keepEarly(LogRange range) {
        earlyRanges.merge(range.from(), range, (one, other) -> one.to() >= other.to() ? one : other);
        if (earlyRanges.size() > MAX_EARLY_RANGES) {
            earlyRanges.pollLastEntry();
        }
    }

    private void applyContiguous(LogRange range, List<Delivery> deliveries) {
        if (range.to() <= position) {
            duplicates += range.entries().size();
            acknowledgementDue |= range.to() > range.from();
            return;
        }
        if (range.truncatedPrefix() != null && range.truncatedPrefix().sequence() > position) {
            deliveries.add(new Delivery.Truncated(range.truncatedPrefix()));
            truncations++;
        }
        for (Entry entry : range.entries()) {
            if (entry.sequence() > position) {
                deliveries.add(new Delivery.Applied(entry));
                applied++;
            }
        }
        position = range.to();
        freshness.incompleteUntil(range.completeAt());
        acknowledgementDue = true;
    }

    /** Returns the message to send now, or null. */
    public Request tick(long nowUs) {
        selectReplica(nowUs);
        if (nowUs >= nextRequestUs) {
            nextRequestUs = nowUs + timing.heartbeatIntervalUs();
            return request(true, nowUs);
        }
        return acknowledgementDue ? request(false, nowUs) : null;
    }

    /** Returns when {@link #tick} is due next. */
    public long nextUs(long nowUs) {
        return acknowledgementDue ? nowUs : Math.min(nextRequestUs, lastResponseUs + timing.replicaTimeoutUs());
    }

    private Request request(boolean wantsAnswer, long nowUs) {
        acknowledgementDue = false;
        freshness.requestSent(++requestId, nowUs);
        return new Request(replica(), new Follow(incarnation, requestId, logId, position, wantsAnswer));
    }

    private void selectReplica(long nowUs) {
        boolean silent = nowUs - lastResponseUs >= timing.replicaTimeoutUs();
        boolean settled = nowUs - followedSinceUs >= timing.replicaTimeoutUs();
        boolean unproven = settled && nowUs - freshness.replicaAsOfUs() > timing.maxStalenessUs() / 2;
        if (silent || unproven) {
            failovers++;
            switchTo((replicaIndex + 1) % replicaOrder.size(), nowUs);
        } else if (replicaIndex != 0 && nowUs - followedSinceUs >= returnHomeAfterUs) {
            switchTo(0, nowUs);
        }
    }

    private void switchTo(int next, long nowUs) {
        replicaIndex = next;
        lastResponseUs = nowUs;
        followedSinceUs = nowUs;
        nextRequestUs = nowUs;
    }
}
