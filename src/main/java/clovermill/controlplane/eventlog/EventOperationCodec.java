package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.OperationCodec;
import clovermill.controlplane.consensus.RaftMessageCodec;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Operations of {@link EventLogStateMachine} and chunks of its snapshots as bytes: a type byte, then the fields in the
 * order of the record.
 */
final class EventOperationCodec implements OperationCodec {

    /** The id of the Raft group. */
    static final Object GROUP = "events";

    private static final int NEW_TERM = 1;
    private static final int OPEN_SESSION = 2;
    private static final int APPEND = 3;
    private static final int SNAPSHOT_HEAD = 4;
    private static final int SNAPSHOT_ENTRIES = 5;
    private static final int SNAPSHOT_SESSIONS = 7;

    /** The codec for Raft's messages and files. */
    static RaftMessageCodec messages() {
        return new RaftMessageCodec(GROUP, new EventOperationCodec());
    }

    @Override
    public void write(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof EventLogStateMachine.NewTerm term) {
            out.writeByte(NEW_TERM);
            out.writeLong(term.logId());
        } else if (operation instanceof EventLogStateMachine.OpenSession) {
            out.writeByte(OPEN_SESSION);
        } else if (operation instanceof EventLogStateMachine.Append append) {
            out.writeByte(APPEND);
            out.writeLong(append.session());
            out.writeLong(append.call());
            EventCodec.writeEvents(append.events(), out);
        } else if (operation instanceof EventLogStateMachine.SnapshotHead chunk) {
            out.writeByte(SNAPSHOT_HEAD);
            writeHead(chunk.head(), out);
        } else if (operation instanceof EventLogStateMachine.SnapshotEntries chunk) {
            out.writeByte(SNAPSHOT_ENTRIES);
            EventCodec.writeEntries(0, chunk.entries(), out);
        } else if (operation instanceof EventLogStateMachine.SnapshotSessions chunk) {
            out.writeByte(SNAPSHOT_SESSIONS);
            writeSessions(chunk.sessions(), out);
        } else {
            throw new IOException("an operation of an unknown type: " + operation);
        }
    }

    private static void writeHead(EventLog.LogState head, DataOutputStream out) throws IOException {
        out.writeLong(head.logId());
        out.writeLong(head.head());
        out.writeLong(head.truncatedPrefix().sequence());
        out.writeLong(head.truncatedPrefix().createdAtMs());
        out.writeLong(head.sessionsOpened());
    }

    private static void writeSessions(List<EventLog.Session> sessions, DataOutputStream out) throws IOException {
        out.writeShort(sessions.size());
        for (EventLog.Session each : sessions) {
            out.writeLong(each.id());
            out.writeLong(each.call());
            out.writeLong(each.last());
        }
    }

    @Override
    public Object read(int kind, DataInputStream in) throws IOException {
        return switch (kind) {
            case NEW_TERM -> new EventLogStateMachine.NewTerm(in.readLong());
            case OPEN_SESSION -> new EventLogStateMachine.OpenSession();
            case APPEND -> new EventLogStateMachine.Append(in.readLong(), in.readLong(), EventCodec.readEvents(in));
            case SNAPSHOT_HEAD ->
                new EventLogStateMachine.SnapshotHead(new EventLog.LogState(in.readLong(), in.readLong(),
                        new TruncatedPrefix(in.readLong(), in.readLong()), in.readLong()));
            case SNAPSHOT_ENTRIES -> new EventLogStateMachine.SnapshotEntries(EventCodec.readEntries(0, in));
            case SNAPSHOT_SESSIONS -> new EventLogStateMachine.SnapshotSessions(readSessions(in));
            default -> throw new IOException("an operation of an unknown type");
        };
    }

    private static List<EventLog.Session> readSessions(DataInputStream in) throws IOException {
        List<EventLog.Session> sessions = new ArrayList<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            sessions.add(new EventLog.Session(in.readLong(), in.readLong(), in.readLong()));
        }
        return List.copyOf(sessions);
    }
}
