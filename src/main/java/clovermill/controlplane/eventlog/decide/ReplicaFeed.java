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
 * Flow control of what a replica sends to its followers. For each follower it has two positions, a window and a token
 * bucket, never a queue: a slow follower gets nothing beyond the window and reads on from the log when it acknowledges,
 * or from a truncated prefix if the log no longer reaches back so far. No follower delays another. Times are
 * microseconds. Not thread-safe.
 */
public final class ReplicaFeed {

    /**
     * Bounds of the feed.
     *
     * @param followerRate bytes a second to one follower, headers included
     * @param replicaRate bytes a second to all; followers near the head come first, the rest round-robin
     * @param windowBytes unacknowledged bytes in flight to one follower
     * @param maxFollowers incarnations of directors that are fed; past them a new one gets no answer
     */
    public record Bounds(long followerRate, long replicaRate, int windowBytes, int maxFollowers) {

        /** The defaults. */
        public static final Bounds DEFAULT = new Bounds(7000, 1_000_000, 16_000, 2048);
    }

    /** A batch for a director. */
    public record Push(int director, Batch batch) {}

    /** Counters since the start: batches pushed, resends, followers that fell behind, followers refused. */
    public record Counts(long pushed, long resent, long droppedToCatchUp, long refused) {}

    /** Bytes of entries in one batch, so that a datagram is not fragmented. */
    private static final int BATCH_BYTES = 1200;
    /** A follower that has sent nothing for so many times {@code silentUs} is removed. */
    private static final int EXPIRY_SILENT_PERIODS = 5;

    /** Proofs that wait for the log; past them the oldest is dropped, which can only prove less. */
    private static final int MAX_PENDING_PROOFS = 32;

    private static final LogRange EMPTY_RANGE = new LogRange(0, 0, 0, null, List.of());

    private record Key(int director, long incarnation) {}

    /** A batch in flight. */
    private record SentBatch(long to, int bytes) {}

    private record HeadProof(long head, long startUs) {}

    private static final class FollowerState {
        private final ByteTokenBucket budget;
        private long requestId;
        private long acknowledged;
        private long sent;
        /** Batches in flight, at most a window. */
        private final Deque<SentBatch> unacknowledged = new ArrayDeque<>();
        private int inFlightBytes;
        private long progressUs;
        private long lastReceivedUs;
        /** Whether it is behind by more than a window, and thus paced by the replica's rate. */
        private boolean catchingUp = true;

        private FollowerState(ByteTokenBucket budget) {
            this.budget = budget;
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
    private final ByteTokenBucket total;
    private final Map<Key, FollowerState> followers = new LinkedHashMap<>();
    /** Proofs of heads that the log has not reached, in the order in which they began. */
    private final Deque<HeadProof> pendingProofs = new ArrayDeque<>();
    private long provenHead = -1;
    private long proofStartUs;
    private int nextBehind;
    private long nextPushUs;
    private long pushed;
    private long resent;
    private long droppedToCatchUp;
    private long refused;

    /** Feeds from a log to which its owner appends. */
    public ReplicaFeed(EventLogTiming timing, Bounds bounds, EventLog log, long nowUs) {
        this.timing = timing;
        this.bounds = bounds;
        this.log = log;
        this.total = new ByteTokenBucket(bounds.replicaRate(), nowUs);
        this.nextPushUs = nowUs;
    }

    /** The number of followers. */
    public int followers() {
        return followers.size();
    }

    /** The counters so far. */
    public Counts counts() {
        return new Counts(pushed, resent, droppedToCatchUp, refused);
    }

    /**
     * This replica proved that every event acknowledged before {@code startUs} has at most the number {@code head}.
     * Followers are told once its own log has reached that head (the wait of ReadIndex, step 4): a replica that cannot
     * deliver what it proves would keep its followers, unproven, for as long as it is behind
     * (docs/incidents/proof-without-events.md).
     */
    public void proven(long head, long startUs) {
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

    /** Handles a follower's report of its position; returns the answer, or null for none. */
    public Push receive(int director, Follow follow, long nowUs) {
        Key key = new Key(director, follow.incarnation());
        FollowerState state = followers.get(key);
        if (state == null) {
            if (followers.size() >= bounds.maxFollowers()) {
                refused++;
                return null;
            }
            state = new FollowerState(new ByteTokenBucket(bounds.followerRate(), nowUs));
            followers.put(key, state);
        }
        state.lastReceivedUs = nowUs;
        state.requestId = Math.max(state.requestId, follow.requestId());
        acknowledge(state, follow.logId() == log.logId() ? follow.position() : 0, nowUs);
        if (!follow.wantsAnswer() || log.logId() == 0 || !state.budget.allows(nowUs)) {
            return null;
        }
        return push(key, state, EMPTY_RANGE, nowUs);
    }

    private void acknowledge(FollowerState state, long position, long nowUs) {
        if (position > log.head()) { // ahead of this replica: nothing to send
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

    /** The batches to send now. */
    public List<Push> tick(long nowUs) {
        List<Push> pushes = new ArrayList<>();
        if (nowUs < nextPushUs) {
            return pushes;
        }
        nextPushUs = nowUs + timing.batchUs();
        if (log.logId() == 0) {
            return pushes;
        }
        followers.values().removeIf(each -> nowUs - each.lastReceivedUs > EXPIRY_SILENT_PERIODS * timing.silentUs());
        followers.values().forEach(each -> updatePacing(each, nowUs));
        followers.forEach((key, state) -> {
            if (!state.catchingUp) {
                feed(key, state, nowUs, pushes);
            }
        });
        List<Map.Entry<Key, FollowerState>> behind = new ArrayList<>();
        followers.entrySet().stream().filter(each -> each.getValue().catchingUp).forEach(behind::add);
        int fed = 0;
        while (fed < behind.size() && total.allows(nowUs)) {
            Map.Entry<Key, FollowerState> next = behind.get((nextBehind + fed) % behind.size());
            feed(next.getKey(), next.getValue(), nowUs, pushes);
            fed++;
        }
        nextBehind = behind.isEmpty() ? 0 : (nextBehind + fed) % behind.size();
        return pushes;
    }

    /** When {@link #tick} is to be called again. */
    public long nextUs() {
        return nextPushUs;
    }

    /** Resends from the acknowledged position after a timeout, and decides whether the follower is paced. */
    private void updatePacing(FollowerState state, long nowUs) {
        boolean timedOut = state.sent > state.acknowledged && nowUs - state.progressUs > 3 * timing.batchUs();
        if (timedOut) {
            state.sendFrom(state.acknowledged);
            state.progressUs = nowUs;
            resent++;
        }
        boolean full = state.inFlightBytes >= bounds.windowBytes();
        boolean behind = state.acknowledged < log.truncatedPrefix().sequence()
                || state.catchingUp && state.sent < log.head() && log.read(state.sent, BATCH_BYTES).to() < log.head();
        boolean paced = full || behind || timedOut;
        droppedToCatchUp += paced && !state.catchingUp ? 1 : 0;
        state.catchingUp = paced;
    }

    private void feed(Key key, FollowerState state, long nowUs, List<Push> pushes) {
        while (state.sent < log.head() && state.inFlightBytes < bounds.windowBytes() && state.budget.allows(nowUs)) {
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
        state.budget.spend(batch.bytes());
        total.allows(nowUs);
        total.spend(batch.bytes());
        return new Push(key.director, batch);
    }

    /** The number of followers that are behind and paced. */
    public int catchingUp() {
        return (int) followers.values().stream().filter(each -> each.catchingUp).count();
    }
}
