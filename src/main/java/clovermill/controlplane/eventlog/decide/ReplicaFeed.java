package clovermill.controlplane.eventlog.decide;

import clovermill.controlplane.eventlog.decide.EventLogMessage.Batch;
import clovermill.controlplane.eventlog.decide.EventLogMessage.Follow;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The flow control of a replica's batches to its followers. A follower's state is two positions, a window and a token
 * bucket, never a queue: a slow follower is sent no batch beyond the window, and continues from the log when it
 * acknowledges, or from a truncated prefix if the log no longer retains its position. No follower delays another. Times
 * are microseconds. Not thread-safe.
 */
public final class ReplicaFeed {

    /**
     * Bounds of the feed.
     *
     * @param followerRate the maximum bytes per second to one follower, headers included
     * @param replicaRate the maximum bytes per second to all followers; those near the head are served first, the
     *     others round-robin
     * @param windowBytes the maximum unacknowledged bytes in flight to one follower
     * @param maxFollowers the maximum number of followers (director incarnations); a further one gets no answer
     */
    public record Bounds(long followerRate, long replicaRate, int windowBytes, int maxFollowers) {

        /** The defaults. */
        public static final Bounds DEFAULT = new Bounds(7000, 1_000_000, 16_000, 2048);
    }

    /** A batch to send to a director. */
    public record Push(int director, Batch batch) {}

    /** Counters since the start: batches pushed, resends, times a follower fell behind, followers rejected. */
    public record Counts(long pushed, long resent, long fellBehind, long rejected) {}

    /** The maximum size of the entries in one batch, so that a datagram is not fragmented. */
    private static final int BATCH_BYTES = 1200;
    /** The number of replica timeouts after which a follower that has sent no message is removed. */
    private static final int EXPIRY_TIMEOUTS = 5;

    /** The maximum number of proofs that wait for the log; dropping the oldest can only prove less. */
    private static final int MAX_PENDING_PROOFS = 32;

    private static final LogRange EMPTY_RANGE = new LogRange(0, 0, 0, null, List.of());

    private record Key(int director, long incarnation) {}

    /** A batch in flight; {@code to} is its last position. */
    private record SentBatch(long to, int bytes) {}

    private record HeadProof(long head, long startUs) {}

    private static final class FollowerState {
        private final ByteTokenBucket rateLimit;
        private long requestId;
        private long acknowledged;
        private long sent;
        /** Batches in flight, at most one window. */
        private final Deque<SentBatch> unacknowledged = new ArrayDeque<>();
        private int inFlightBytes;
        private long progressUs;
        private long lastReceivedUs;
        /** True while the follower is behind by more than a window, and therefore paced by the replica's rate. */
        private boolean catchingUp = true;

        private FollowerState(ByteTokenBucket rateLimit) {
            this.rateLimit = rateLimit;
        }

        private void sendFrom(long position) {
            sent = position;
            unacknowledged.clear();
            inFlightBytes = 0;
        }
    }

    private final EventLogTiming timing;
    private final Bounds bounds;
    private final EventLog log;
    private final ByteTokenBucket totalRateLimit;
    private final Map<Key, FollowerState> followers = new LinkedHashMap<>();
    /** Proofs of heads that the log has not reached yet, in the order of their start. */
    private final Deque<HeadProof> pendingProofs = new ArrayDeque<>();
    private long provenHead = -1;
    private long proofStartUs;
    private int nextBehind;
    private long nextPushUs;
    private long pushed;
    private long resent;
    private long fellBehind;
    private long rejected;

    /** Creates a feed from a log to which its owner appends. */
    public ReplicaFeed(EventLogTiming timing, Bounds bounds, EventLog log, long nowUs) {
        this.timing = timing;
        this.bounds = bounds;
        this.log = log;
        this.totalRateLimit = new ByteTokenBucket(bounds.replicaRate(), nowUs);
        this.nextPushUs = nowUs;
    }

    /** Returns the number of followers. */
    public int followerCount() {
        return followers.size();
    }

    /** Returns the counters. */
    public Counts counts() {
        return new Counts(pushed, resent, fellBehind, rejected);
    }

    /**
     * Records this replica's proof that every event acknowledged before {@code startUs} has at most the sequence number
     * {@code head}. It is sent to followers once the replica's own log has reached that head (the wait of ReadIndex,
     * step 4): a replica that sent proofs of events that it cannot deliver would keep its followers, unproven, for as
     * long as it is behind (docs/incidents/proof-without-events.md).
     */
    public void headProven(long head, long startUs) {
        pendingProofs.addLast(new HeadProof(head, startUs));
        if (pendingProofs.size() > MAX_PENDING_PROOFS) {
            pendingProofs.removeFirst();
        }
    }

    private void adoptProofs() {
        while (!pendingProofs.isEmpty() && pendingProofs.getFirst().head <= log.head()) {
            HeadProof proof = pendingProofs.removeFirst();
            provenHead = proof.head;
            proofStartUs = proof.startUs;
        }
    }

    /** Handles a follower's report of its position and returns the answer, or null for none. */
    public Push receive(int director, Follow follow, long nowUs) {
        Key key = new Key(director, follow.incarnation());
        FollowerState state = followers.get(key);
        if (state == null) {
            if (followers.size() >= bounds.maxFollowers()) {
                rejected++;
                return null;
            }
            state = new FollowerState(new ByteTokenBucket(bounds.followerRate(), nowUs));
            followers.put(key, state);
        }
        state.lastReceivedUs = nowUs;
        state.requestId = Math.max(state.requestId, follow.requestId());
        acknowledge(state, follow.logId() == log.logId() ? follow.position() : 0, nowUs);
        if (!follow.wantsAnswer() || log.logId() == 0 || !state.rateLimit.allows(nowUs)) {
            return null;
        }
        return push(key, state, EMPTY_RANGE, nowUs);
    }

    private void acknowledge(FollowerState state, long position, long nowUs) {
        if (position > log.head()) { // ahead of this replica: there is nothing to send
            state.acknowledged = position;
            state.sendFrom(position);
        } else if (position > state.acknowledged || position == state.sent) {
            state.acknowledged = Math.max(state.acknowledged, position);
            state.progressUs = nowUs;
            if (position >= state.sent) {
                state.sendFrom(position);
            }
            while (!state.unacknowledged.isEmpty() && state.unacknowledged.getFirst().to() <= position) {
                state.inFlightBytes -= state.unacknowledged.removeFirst().bytes();
            }
        }
    }

    /** Returns the batches to send now. */
    public List<Push> tick(long nowUs) {
        List<Push> pushes = new ArrayList<>();
        if (nowUs < nextPushUs) {
            return pushes;
        }
        nextPushUs = nowUs + timing.batchIntervalUs();
        if (log.logId() == 0) {
            return pushes;
        }
        followers.values().removeIf(each -> nowUs - each.lastReceivedUs > EXPIRY_TIMEOUTS * timing.replicaTimeoutUs());
        followers.values().forEach(each -> updatePacing(each, nowUs));
        followers.forEach((key, state) -> {
            if (!state.catchingUp) {
                feed(key, state, nowUs, pushes);
            }
        });
        List<Map.Entry<Key, FollowerState>> behind = new ArrayList<>();
        followers.entrySet().stream().filter(each -> each.getValue().catchingUp).forEach(behind::add);
        int fed = 0;
        while (fed < behind.size() && totalRateLimit.allows(nowUs)) {
            Map.Entry<Key, FollowerState> next = behind.get((nextBehind + fed) % behind.size());
            feed(next.getKey(), next.getValue(), nowUs, pushes);
            fed++;
        }
        nextBehind = behind.isEmpty() ? 0 : (nextBehind + fed) % behind.size();
        return pushes;
    }

    /** Returns when {@link #tick} is due next. */
    public long nextUs() {
        return nextPushUs;
    }

    /** Restarts from the acknowledged position after a timeout, and decides whether the follower is paced. */
    private void updatePacing(FollowerState state, long nowUs) {
        boolean timedOut = state.sent > state.acknowledged && nowUs - state.progressUs > 3 * timing.batchIntervalUs();
        if (timedOut) {
            state.sendFrom(state.acknowledged);
            state.progressUs = nowUs;
            resent++;
        }
        boolean full = state.inFlightBytes >= bounds.windowBytes();
        boolean behind = state.acknowledged < log.truncatedPrefix().sequence()
                || state.catchingUp && state.sent < log.head() && log.read(state.sent, BATCH_BYTES).to() < log.head();
        boolean paced = full || behind || timedOut;
        fellBehind += paced && !state.catchingUp ? 1 : 0;
        state.catchingUp = paced;
    }

    private void feed(Key key, FollowerState state, long nowUs, List<Push> pushes) {
        while (state.sent < log.head() && state.inFlightBytes < bounds.windowBytes() && state.rateLimit.allows(nowUs)) {
            LogRange range = log.read(state.sent, BATCH_BYTES);
            if (state.inFlightBytes == 0) {
                state.progressUs = nowUs;
            }
            Push push = push(key, state, range, nowUs);
            state.sent = range.to();
            state.unacknowledged.addLast(new SentBatch(range.to(), push.batch().bytes()));
            state.inFlightBytes += push.batch().bytes();
            pushed++;
            pushes.add(push);
        }
    }

    private Push push(Key key, FollowerState state, LogRange range, long nowUs) {
        adoptProofs();
        long ageUs = Math.max(0, nowUs - proofStartUs);
        Batch batch = new Batch(key.incarnation, state.requestId, log.logId(), provenHead, ageUs, range);
        state.rateLimit.spend(batch.bytes());
        totalRateLimit.allows(nowUs);
        totalRateLimit.spend(batch.bytes());
        return new Push(key.director, batch);
    }

    /** Returns the number of followers that are behind and paced. */
    public int catchingUpCount() {
        return (int) followers.values().stream().filter(each -> each.catchingUp).count();
    }
}
