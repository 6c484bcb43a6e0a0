package clovermill.controlplane.eventlog.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A replica's copy of the log: assigns sequence numbers, retains the latest event of each subject (compaction) within
 * a bound of bytes, and drops the oldest beyond it, which {@link #truncatedPrefix} then represents. Appends are
 * idempotent by session and call number (Ongaro, "Consensus: Bridging Theory and Practice", 6.3). The same operations
 * in the same order give the same log. Not thread-safe.
 */
public final class EventLog {

    /**
     * Bounds, the same on all replicas.
     *
     * @param retentionBytes bytes of events as on the wire; past them the oldest entries are dropped
     * @param maxSessions sessions of clients; past them the least recently used is dropped, and its calls are refused
     *     from then on
     */
    public record Bounds(long retentionBytes, int maxSessions) {}

    /** The outcome of an append. */
    public enum AppendOutcome {
        /** Its events have sequence numbers, assigned now or when the call was first received. */
        APPENDED,
        /** The session is unknown or was dropped: nothing was appended now; whether it was earlier is unknown. */
        SESSION_EXPIRED,
        /** A later call of the session was already answered: nothing was appended now. */
        OUTDATED
    }

    /** The answer to an append; {@code last} is the sequence number of its last event, 0 unless appended. */
    public record AppendResult(AppendOutcome outcome, long last) {}

    /** A client's latest call and the sequence number that answered it. */
    public record Session(long id, long call, long last) {}

    /** The state of a log without its entries and sessions. */
    public record LogState(long logId, long head, TruncatedPrefix truncatedPrefix, long sessionsOpened) {}

    private final Bounds bounds;
    private final TreeMap<Long, Event> entries = new TreeMap<>();
    private final Map<Subject, Long> latest = new HashMap<>();
    /** By number, the least recently used first. */
    private final Map<Long, Session> sessions = new LinkedHashMap<>();
    private long logId;
    private long head;
    private TruncatedPrefix truncatedPrefix = TruncatedPrefix.NONE;
    private long bytes;
    private long sessionsOpened;

    /** An empty log. */
    public EventLog(Bounds bounds) {
        this.bounds = bounds;
    }

    /** The log's id, a random number; 0 until one is assigned. */
    public long logId() {
        return logId;
    }

    /** Assigns the log's id, unless it has one. */
    public void assignId(long id) {
        logId = logId == 0 ? id : logId;
    }

    /** The last sequence number assigned, 0 before any. */
    public long head() {
        return head;
    }

    /** Represents the entries that retention dropped. */
    public TruncatedPrefix truncatedPrefix() {
        return truncatedPrefix;
    }

    /** Bytes of the events retained, as on the wire. */
    public long bytes() {
        return bytes;
    }

    /** The number of entries retained. */
    public int size() {
        return entries.size();
    }

    /** The number of sessions retained. */
    public int sessionCount() {
        return sessions.size();
    }

    /** Opens a session for a client; returns its number. */
    public long openSession() {
        long id = ++sessionsOpened;
        sessions.put(id, new Session(id, 0, 0));
        if (sessions.size() > bounds.maxSessions()) {
            sessions.remove(sessions.keySet().iterator().next());
        }
        return id;
    }

    /** Appends events; a call that was already answered gets the same answer again and appends nothing. */
    public AppendResult append(long session, long call, List<Event> events) {
        Session current = sessions.remove(session);
        if (current == null) {
            return new AppendResult(AppendOutcome.SESSION_EXPIRED, 0);
        }
        if (call > current.call()) {
            events.forEach(this::appendEvent);
            current = new Session(session, call, head);
        }
        sessions.put(session, current);
        return call == current.call() ? new AppendResult(AppendOutcome.APPENDED, current.last())
                : new AppendResult(AppendOutcome.OUTDATED, 0);
    }

    private void appendEvent(Event event) {
        head++;
        Long earlier = latest.put(event.subject(), head);
        Event retained = event;
        if (earlier != null) {
            Event replaced = entries.remove(earlier);
            bytes -= replaced.bytes();
            retained = event.notBefore(replaced);
        }
        entries.put(head, retained);
        bytes += retained.bytes();
        while (bytes > bounds.retentionBytes() && entries.size() > 1) {
            dropOldest();
        }
    }

    private void dropOldest() {
        Map.Entry<Long, Event> oldest = entries.pollFirstEntry();
        latest.remove(oldest.getValue().subject());
        bytes -= oldest.getValue().bytes();
        truncatedPrefix = new TruncatedPrefix(oldest.getKey(),
                Math.max(truncatedPrefix.createdAtMs(), oldest.getValue().createdAtMs()));
    }

    /**
     * The entries after a position, up to so many bytes but at least one. The range is empty at the head.
     *
     * @param from a position of at most {@link #head}
     */
    public LogRange read(long from, int maxBytes) {
        boolean beforeRetained = from < truncatedPrefix.sequence();
        long start = beforeRetained ? truncatedPrefix.sequence() : from;
        List<Entry> read = new ArrayList<>();
        int size = 0;
        long previous = from;
        for (Map.Entry<Long, Event> each : entries.tailMap(start, false).entrySet()) {
            Entry entry = new Entry(each.getKey(), each.getValue());
            size += entry.bytes(previous);
            if (size > maxBytes && !read.isEmpty()) {
                break;
            }
            read.add(entry);
            previous = entry.sequence();
        }
        // The latest entry is never dropped nor replaced, so all of the log is read where no more entries follow.
        long to = read.isEmpty() ? Math.max(start, from) : read.get(read.size() - 1).sequence();
        boolean complete = !beforeRetained && read.size() == to - from;
        return new LogRange(from, to, complete ? to : head, beforeRetained ? truncatedPrefix : null, List.copyOf(read));
    }

    /** The state of the log, for a snapshot. */
    public LogState state() {
        return new LogState(logId, head, truncatedPrefix, sessionsOpened);
    }

    /** All entries in order, for a snapshot. */
    public List<Entry> entries() {
        return entries.entrySet().stream().map(each -> new Entry(each.getKey(), each.getValue())).toList();
    }

    /** All sessions, the least recently used first, for a snapshot. */
    public List<Session> openSessions() {
        return List.copyOf(sessions.values());
    }

    /** Replaces the content by a snapshot's. */
    public void restore(LogState state, List<Entry> snapshotEntries, List<Session> snapshotSessions) {
        entries.clear();
        latest.clear();
        sessions.clear();
        bytes = 0;
        logId = state.logId();
        head = state.head();
        truncatedPrefix = state.truncatedPrefix();
        sessionsOpened = state.sessionsOpened();
        for (Entry each : snapshotEntries) {
            entries.put(each.sequence(), each.event());
            latest.put(each.event().subject(), each.sequence());
            bytes += each.event().bytes();
        }
        snapshotSessions.forEach(each -> sessions.put(each.id(), each));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EventLog log && state().equals(log.state()) && entries.equals(log.entries)
                && openSessions().equals(log.openSessions());
    }

    @Override
    public int hashCode() {
        return Objects.hash(state(), entries);
    }
}
