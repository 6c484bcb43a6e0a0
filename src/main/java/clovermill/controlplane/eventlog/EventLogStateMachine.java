package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.ReplicatedStateMachine;
import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The log as Raft's state machine: the same operations in the same order give the same log on each replica. */
final class EventLogStateMachine implements ReplicatedStateMachine {

    /** The first entry of a leader's term; the first of all gives the log its name. */
    record NewTerm(long logId) {}

    /** Opens a session. */
    record OpenSession() {}

    /** Appends events. */
    record Append(long session, long call, List<Event> events) {}

    /** Asks for the last sequence number; never in the log. */
    record ReadHead() {}

    /** The first chunk of a snapshot. */
    record SnapshotHead(EventLog.LogState head) {}

    /** A chunk with some entries, which holds the numbers of all. */
    record SnapshotEntries(List<Entry> entries) {}

    /** A chunk with some sessions. */
    record SnapshotSessions(List<EventLog.Session> sessions) {}

    /** Entries or sessions in a chunk: what fits a datagram, with the longest details too. */
    private static final int CHUNK = 14;

    private final EventLog log;
    private final LongSupplier names;
    private boolean applied;

    /** {@code names} draws the name of a new log, never 0. */
    EventLogStateMachine(EventLog.Bounds bounds, LongSupplier names) {
        this.log = new EventLog(bounds);
        this.names = names;
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
        if (operation instanceof NewTerm term) {
            log.name(term.logId());
        } else if (operation instanceof OpenSession) {
            return log.open();
        } else if (operation instanceof Append append) {
            return log.append(append.session(), append.call(), append.events());
        }
        return log.head();
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(new SnapshotHead(log.describe()));
        List<Entry> entries = log.all();
        for (int at = 0; at < entries.size(); at += CHUNK) {
            chunks.accept(new SnapshotEntries(List.copyOf(entries.subList(at, Math.min(entries.size(), at + CHUNK)))));
        }
        List<EventLog.Session> sessions = log.allSessions();
        for (int at = 0; at < sessions.size(); at += CHUNK) {
            chunks.accept(new SnapshotSessions(List.copyOf(sessions.subList(at, Math.min(sessions.size(),
                    at + CHUNK)))));
        }
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        applied = true;
        List<Entry> entries = new ArrayList<>();
        List<EventLog.Session> sessions = new ArrayList<>();
        for (Object chunk : chunks) {
            if (chunk instanceof SnapshotEntries some) {
                entries.addAll(some.entries());
            } else if (chunk instanceof SnapshotSessions some) {
                sessions.addAll(some.sessions());
            }
        }
        log.restore(((SnapshotHead) chunks.get(0)).head(), entries, sessions);
    }

    @Override
    public Object getNewTermOperation() {
        return new NewTerm(names.getAsLong());
    }
}
