package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.ReplicatedStateMachine;
import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * The log as a replicated state machine of Raft: the same operations in the same order produce the same log on each
 * replica.
 */
final class EventLogStateMachine implements ReplicatedStateMachine {

    /** An operation in Raft's log, or a query. */
    sealed interface Operation {
        /** Applies the operation and returns its result. */
        Object applyTo(EventLog log);
    }

    /** The first entry of each leader's term; that of the first term assigns the log's id. */
    record NewTerm(long logId) implements Operation {
        @Override
        public Object applyTo(EventLog log) {
            log.assignId(logId);
            return log.head();
        }
    }

    /** The opening of a client's session; its result is the session's number. */
    record OpenSession() implements Operation {
        @Override
        public Object applyTo(EventLog log) {
            return log.openSession();
        }
    }

    /** An append of events; its result is an {@link EventLog.AppendResult}. */
    record Append(long session, long call, List<Event> events) implements Operation {
        @Override
        public Object applyTo(EventLog log) {
            return log.append(session, call, events);
        }
    }

    /** A query for the last sequence number; it is never in Raft's log. */
    record ReadHead() implements Operation {
        @Override
        public Object applyTo(EventLog log) {
            return log.head();
        }
    }

    /** The first chunk of a snapshot. */
    record SnapshotHead(EventLog.LogState head) {}

    /** A chunk of entries. */
    record SnapshotEntries(List<Entry> entries) {}

    /** A chunk of sessions. */
    record SnapshotSessions(List<EventLog.Session> sessions) {}

    /** The maximum size of the entries or sessions in one chunk, so that its datagram is not fragmented. */
    static final int CHUNK_BYTES = 1100;
    /** The maximum size of a sequence number in a chunk. */
    private static final int MAX_VARINT_BYTES = 10;
    private static final int SESSION_BYTES = 3 * Long.BYTES;

    private final EventLog log;
    private final LongSupplier logIds;
    private boolean applied;

    /**
     * Creates a state machine with an empty log.
     *
     * @param logIds draws the id of a new log, a random number other than 0
     */
    EventLogStateMachine(EventLog.Bounds bounds, LongSupplier logIds) {
        this.log = new EventLog(bounds);
        this.logIds = logIds;
    }

    EventLog log() {
        return log;
    }

    @Override
    public boolean hasApplied() {
        return applied;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        applied = true;
        return ((Operation) operation).applyTo(log);
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(new SnapshotHead(log.state()));
        forEachChunk(log.entries(), each -> MAX_VARINT_BYTES + each.event().bytes(),
                entries -> chunks.accept(new SnapshotEntries(entries)));
        forEachChunk(log.sessions(), each -> SESSION_BYTES,
                sessions -> chunks.accept(new SnapshotSessions(sessions)));
    }

    private static <T> void forEachChunk(List<T> all, ToIntFunction<T> bytesOf, Consumer<List<T>> chunk) {
        int from = 0;
        int bytes = 0;
        for (int i = 0; i < all.size(); i++) {
            int next = bytesOf.applyAsInt(all.get(i));
            if (bytes + next > CHUNK_BYTES) {
                chunk.accept(List.copyOf(all.subList(from, i)));
                from = i;
                bytes = 0;
            }
            bytes += next;
        }
        if (from < all.size()) {
            chunk.accept(List.copyOf(all.subList(from, all.size())));
        }
    }

    /** Returns the maximum number of chunks in a snapshot of a log with these bounds and number of clients. */
    static int maxChunks(EventLog.Bounds bounds, int clients) {
        long entryBytes = bounds.retentionBytes() + bounds.retentionBytes() / Event.FIXED_BYTES * MAX_VARINT_BYTES;
        long sessionBytes = (long) Math.min(clients, bounds.maxSessions()) * SESSION_BYTES;
        return 1 + (int) (divideUp(entryBytes, CHUNK_BYTES) + divideUp(sessionBytes, CHUNK_BYTES));
    }

    private static long divideUp(long dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        applied = true;
        List<Entry> entries = new ArrayList<>();
        List<EventLog.Session> sessions = new ArrayList<>();
        for (Object chunk : chunks) {
            if (chunk instanceof SnapshotEntries entriesChunk) {
                entries.addAll(entriesChunk.entries());
            } else if (chunk instanceof SnapshotSessions sessionsChunk) {
                sessions.addAll(sessionsChunk.sessions());
            }
        }
        log.restore(((SnapshotHead) chunks.get(0)).head(), entries, sessions);
    }

    @Override
    public Object getNewTermOperation() {
        return new NewTerm(logIds.getAsLong());
    }
}
