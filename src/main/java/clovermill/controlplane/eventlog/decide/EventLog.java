package clovermill.controlplane.eventlog.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The log as each replica holds it: gives events their sequence numbers, keeps the latest of each subject, and no more
 * than so many bytes; the oldest are then dropped and stand in {@link #clear}. Appends are idempotent by session and
 * call number (Ongaro, "Consensus: Bridging Theory and Practice", 6.3). The same operations in the same order give the
 * same log. Not thread-safe.
 */
public final class EventLog {

    /**
     * Bounds, the same on all replicas.
     *
     * @param retentionBytes bytes of events as on the wire; past them the oldest entries are dropped
     * @param mostSessions sessions of clients; past them the one that was silent longest is dropped, and its calls are
     *     refused from then on
     */
    public record Bounds(long retentionBytes, int mostSessions) {}

    /** What became of an append. */
    public enum AppendOutcome {
        /** Its events have their sequence numbers, now or since an earlier time that it was sent. */
        APPENDED,
        /** The session is not known, or no more: nothing was appended now; whether earlier, is not known. */
        SESSION_EXPIRED,
        /** A later call of the session was answered: nothing was appended now. */
        OUTDATED
    }

    /** The answer to an append; {@code last} is the sequence number of its last event, 0 unless appended. */
    public record AppendResult(AppendOutcome outcome, long last) {}

    /** A client's latest call and the sequence number that answered it. */
    public record Session(long id, long call, long last) {}

    /** All that makes a log, without its entries. */
    public record LogState(long logId, long head, TruncatedPrefix clear, long sessionsOpened) {}

    private final Bounds bounds;
    private final TreeMap<Long, Event> entries = new TreeMap<>();
    private final Map<Subject, Long> latest = new HashMap<>();
    /** By session, the one that was silent longest first. */
    private final Map<Long, Session> sessions = new LinkedHashMap<>();
    private long logId;
    private long head;
    private TruncatedPrefix clear = TruncatedPrefix.NONE;
    private long bytes;
    private long sessionsOpened;

    /** An empty log. */
    public EventLog(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Which log it is, a random number; 0 before it has one. */
    public long logId() {
        return logId;
    }

    /** Names the log, if it has no name yet. */
    public void name(long id) {
        logId = logId == 0 ? id : logId;
    }

    /** The last sequence number that was given, 0 before any. */
    public long head() {
        return head;
    }

    /** What was dropped. */
    public TruncatedPrefix clear() {
        return clear;
    }

    /** Bytes of the events held, as on the wire. */
    public long bytes() {
        return bytes;
    }

    /** Entries held. */
    public int size() {
        return entries.size();
    }

    /** Sessions held. */
    public int sessions() {
        return sessions.size();
    }

    /** Opens a session for a client and gives its number. */
    public long open() {
        long id = ++sessionsOpened;
        sessions.put(id, new Session(id, 0, 0));
        if (sessions.size() > bounds.mostSessions()) {
            sessions.remove(sessions.keySet().iterator().next());
        }
        return id;
    }

    /** Appends events, unless the session's call was answered before: then the answer is the same again. */
    public AppendResult append(long session, long call, List<Event> events) {
        Session known = sessions.remove(session);
        if (known == null) {
            return new AppendResult(AppendOutcome.SESSION_EXPIRED, 0);
        }
        if (call > known.call()) {
            events.forEach(this::add);
            known = new Session(session, call, head);
        }
        sessions.put(session, known);
        return call == known.call() ? new AppendResult(AppendOutcome.APPENDED, known.last())
                : new AppendResult(AppendOutcome.OUTDATED, 0);
    }

    private void add(Event event) {
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
            drop();
        }
    }

    private void drop() {
        Map.Entry<Long, Event> oldest = entries.pollFirstEntry();
        latest.remove(oldest.getValue().subject());
        bytes -= oldest.getValue().bytes();
        clear = new TruncatedPrefix(oldest.getKey(), Math.max(clear.madeMs(), oldest.getValue().madeMs()));
    }

    /**
     * What follows a position, in entries of so many bytes at most, or one entry. The range is empty at the head.
     *
     * @param from a position of at most {@link #head}
     */
    public LogRange read(long from, int mostBytes) {
        boolean past = from < clear.sequence();
        long start = past ? clear.sequence() : from;
        List<Entry> read = new ArrayList<>();
        int size = 0;
        long previous = from;
        for (Map.Entry<Long, Event> each : entries.tailMap(start, false).entrySet()) {
            Entry entry = new Entry(each.getKey(), each.getValue());
            size += entry.bytes(previous);
            if (size > mostBytes && !read.isEmpty()) {
                break;
            }
            read.add(entry);
            previous = entry.sequence();
        }
        // The latest entry is never dropped nor replaced, so all of the log is read where no more entries follow.
        long to = read.isEmpty() ? Math.max(start, from) : read.get(read.size() - 1).sequence();
        boolean complete = !past && read.size() == to - from;
        return new LogRange(from, to, complete ? to : head, past ? clear : null, List.copyOf(read));
    }

    /** What a snapshot begins with. */
    public LogState describe() {
        return new LogState(logId, head, clear, sessionsOpened);
    }

    /** All entries in order, for a snapshot. */
    public List<Entry> all() {
        return entries.entrySet().stream().map(each -> new Entry(each.getKey(), each.getValue())).toList();
    }

    /** All sessions, the one that was silent longest first, for a snapshot. */
    public List<Session> allSessions() {
        return List.copyOf(sessions.values());
    }

    /** Becomes the log of a snapshot. */
    public void restore(LogState described, List<Entry> all, List<Session> allSessions) {
        entries.clear();
        latest.clear();
        sessions.clear();
        bytes = 0;
        logId = described.logId();
        head = described.head();
        clear = described.clear();
        sessionsOpened = described.sessionsOpened();
        for (Entry each : all) {
            entries.put(each.sequence(), each.event());
            latest.put(each.event().subject(), each.sequence());
            bytes += each.event().bytes();
        }
        allSessions.forEach(each -> sessions.put(each.id(), each));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EventLog log && describe().equals(log.describe()) && entries.equals(log.entries)
                && allSessions().equals(log.allSessions());
    }

    @Override
    public int hashCode() {
        return Objects.hash(describe(), entries);
    }
}
