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
 * What a replica sends to the directors that follow it. For each it holds two positions, a window and a budget, never a
 * queue: who is slow gets nothing beyond the window and reads on from the log when it acknowledges, or from an order to
 * clear if the log no longer reaches back so far. Nobody waits for a follower. Not thread-safe.
 */
public final class ReplicaFeed {

    /**
     * Bounds.
     *
     * @param followerRate bytes a second to one follower, headers included
     * @param replicaRate bytes a second to all; those close to the head come first, the others in turn
     * @param windowBytes bytes on their way to one follower that it has not acknowledged
     * @param mostFollowers starts of directors that are fed; past them a new one gets no answer
     */
    public record Bounds(long followerRate, long replicaRate, int windowBytes, int mostFollowers) {

        /** The figures where settings name none. */
        public static final Bounds DEFAULT = new Bounds(7000, 1_000_000, 16_000, 2048);
    }

    /** A batch for a director. */
    public record Push(int director, Batch batch) {}

    /** What happened, since the start. */
    public record Counts(long pushed, long resent, long toCatchUp, long refused) {}

    /** Bytes of entries in one batch, so that a datagram fits any link. */
    private static final int BATCH_BYTES = 1200;
    /** A follower that was silent for so many times {@code silentUs} is fed no more. */
    private static final int GONE_AFTER = 5;

    private static final LogRange NOTHING = new LogRange(0, 0, 0, null, List.of());

    private record Key(int director, long boot) {}

    /** A batch on its way. */
    private record Sent(long to, int bytes) {}

    private static final class State {
        private final ByteTokenBucket budget;
        private long question;
        private long acknowledged;
        private long sent;
        /** What is on its way, at most a window. */
        private final Deque<Sent> unacknowledged = new ArrayDeque<>();
        private int inFlight;
        private long progressUs;
        private long lastReceivedUs;
        /** Whether it is behind by more than a window, and paced. */
        private boolean catchingUp = true;

        private State(ByteTokenBucket budget) {
            this.budget = budget;
        }

        private void sendFrom(long position) {
            sent = position;
            unacknowledged.clear();
            inFlight = 0;
        }
    }

    private final EventLogTiming terms;
    private final Bounds bounds;
    private final EventLog log;
    private final ByteTokenBucket total;
    private final Map<Key, State> followers = new LinkedHashMap<>();
    private long provenHead = -1;
    private long proofBeganUs;
    private int turn;
    private long pushAtUs;
    private long pushed;
    private long resent;
    private long toCatchUp;
    private long refused;

    /** Feeds from a log that its owner adds to. */
    public ReplicaFeed(EventLogTiming terms, Bounds bounds, EventLog log, long nowUs) {
        this.terms = terms;
        this.bounds = bounds;
        this.log = log;
        this.total = new ByteTokenBucket(bounds.replicaRate(), nowUs);
        this.pushAtUs = nowUs;
    }

    /** How many are fed. */
    public int followers() {
        return followers.size();
    }

    /** What happened so far. */
    public Counts counts() {
        return new Counts(pushed, resent, toCatchUp, refused);
    }

    /** All events acknowledged before a moment of this replica's clock are up to a position. */
    public void proven(long head, long beganUs) {
        provenHead = head;
        proofBeganUs = beganUs;
    }

    /** A follower reports its position; gives the answer, or null. */
    public Push on(int director, Follow follow, long nowUs) {
        Key key = new Key(director, follow.boot());
        State state = followers.get(key);
        if (state == null) {
            if (followers.size() >= bounds.mostFollowers()) {
                refused++;
                return null;
            }
            state = new State(new ByteTokenBucket(bounds.followerRate(), nowUs));
            followers.put(key, state);
        }
        state.lastReceivedUs = nowUs;
        state.question = Math.max(state.question, follow.question());
        acknowledged(state, follow.logId() == log.logId() ? follow.position() : 0, nowUs);
        if (!follow.wantsAnswer() || log.logId() == 0 || !state.budget.allows(nowUs)) {
            return null;
        }
        return push(key, state, NOTHING, nowUs);
    }

    private void acknowledged(State state, long position, long nowUs) {
        if (position > log.head()) { // knows more than this replica does so far: nothing to send
            state.acknowledged = position;
            state.sendFrom(position);
        } else if (position > state.acknowledged || position == state.sent) {
            state.acknowledged = Math.max(state.acknowledged, position);
            state.progressUs = nowUs;
            if (position >= state.sent) {
                state.sendFrom(position);
            }
            while (!state.unacknowledged.isEmpty() && state.unacknowledged.getFirst().to() <= position) {
                state.inFlight -= state.unacknowledged.removeFirst().bytes();
            }
        }
    }

    /** What is to be sent on now. */
    public List<Push> tick(long nowUs) {
        List<Push> pushes = new ArrayList<>();
        if (nowUs < pushAtUs) {
            return pushes;
        }
        pushAtUs = nowUs + terms.batchUs();
        if (log.logId() == 0) {
            return pushes;
        }
        followers.values().removeIf(each -> nowUs - each.lastReceivedUs > GONE_AFTER * terms.silentUs());
        followers.values().forEach(each -> updatePacing(each, nowUs));
        followers.forEach((key, state) -> {
            if (!state.catchingUp) {
                feed(key, state, nowUs, pushes);
            }
        });
        List<Map.Entry<Key, State>> behind = new ArrayList<>();
        followers.entrySet().stream().filter(each -> each.getValue().catchingUp).forEach(behind::add);
        int fed = 0;
        while (fed < behind.size() && total.allows(nowUs)) {
            Map.Entry<Key, State> next = behind.get((turn + fed) % behind.size());
            feed(next.getKey(), next.getValue(), nowUs, pushes);
            fed++;
        }
        turn = behind.isEmpty() ? 0 : (turn + fed) % behind.size();
        return pushes;
    }

    /** When {@link #tick} is to be called again. */
    public long nextUs() {
        return pushAtUs;
    }

    /** Goes back to what was acknowledged after some silence, and decides who is behind. */
    private void updatePacing(State state, long nowUs) {
        boolean timedOut = state.sent > state.acknowledged && nowUs - state.progressUs > 3 * terms.batchUs();
        if (timedOut) {
            state.sendFrom(state.acknowledged);
            state.progressUs = nowUs;
            resent++;
        }
        boolean full = state.inFlight >= bounds.windowBytes();
        boolean behind = state.acknowledged < log.clear().sequence()
                || state.catchingUp && state.sent < log.head() && log.read(state.sent, BATCH_BYTES).to() < log.head();
        boolean paced = full || behind || timedOut;
        toCatchUp += paced && !state.catchingUp ? 1 : 0;
        state.catchingUp = paced;
    }

    private void feed(Key key, State state, long nowUs, List<Push> pushes) {
        while (state.sent < log.head() && state.inFlight < bounds.windowBytes() && state.budget.allows(nowUs)) {
            LogRange slice = log.read(state.sent, BATCH_BYTES);
            if (state.inFlight == 0) {
                state.progressUs = nowUs;
            }
            Push push = push(key, state, slice, nowUs);
            state.sent = slice.to();
            state.unacknowledged.addLast(new Sent(slice.to(), push.batch().bytes()));
            state.inFlight += push.batch().bytes();
            pushed++;
            pushes.add(push);
        }
    }

    private Push push(Key key, State state, LogRange slice, long nowUs) {
        long ageUs = Math.max(0, nowUs - proofBeganUs);
        Batch batch = new Batch(key.boot, state.question, log.logId(), provenHead, ageUs, slice);
        state.budget.spend(batch.bytes());
        total.allows(nowUs);
        total.spend(batch.bytes());
        return new Push(key.director, batch);
    }

    /** How many are behind, and paced. */
    public int catchingUp() {
        return (int) followers.values().stream().filter(each -> each.catchingUp).count();
    }
}
