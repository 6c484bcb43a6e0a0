package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftMessageCodec;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.LogRange;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** The type byte and the fields of a packet, in the order of its record; see {@link PacketCodec} for the envelope. */
final class PacketBodyCodec {

    private static final int FOLLOW = 1;
    private static final int BATCH = 2;
    private static final int OPEN_SESSION = 3;
    private static final int SESSION_OPENED = 4;
    private static final int APPEND = 5;
    private static final int APPEND_ANSWER = 6;
    private static final int REDIRECT = 7;
    private static final int READ_INDEX = 8;
    private static final int READ_INDEX_ANSWER = 9;
    private static final int RAFT = 10;
    private static final int JOIN_REQUEST = 11;
    private static final int JOIN_RESPONSE = 12;

    private final RaftMessageCodec raft = EventOperationCodec.messages();

    /** Writes a packet. */
    void write(Packet packet, DataOutputStream out) throws IOException {
        packet.dispatch(new PacketWriter(out));
    }

    private final class PacketWriter implements Packet.Handler<IOException> {

        private final DataOutputStream out;

        private PacketWriter(DataOutputStream out) {
            this.out = out;
        }

        @Override
        public void eventLogPacket(Packet.EventLogPacket packet) throws IOException {
            EventLogMessage message = packet.message();
            if (message instanceof EventLogMessage.ToReplica request) {
                request.dispatch(new RequestWriter(out));
            } else if (message instanceof EventLogMessage.ToDirector response) {
                response.dispatch(new ResponseWriter(out));
            }
        }

        @Override
        public void raftPacket(Packet.RaftPacket packet) throws IOException {
            out.writeByte(RAFT);
            out.writeLong(packet.disk());
            raft.write(packet.message(), out);
        }

        @Override
        public void joinRequest(Packet.JoinRequest request) throws IOException {
            out.writeByte(JOIN_REQUEST);
            out.writeLong(request.disk());
            out.writeBoolean(request.empty());
        }

        @Override
        public void joinResponse(Packet.JoinResponse response) throws IOException {
            out.writeByte(JOIN_RESPONSE);
            out.writeLong(response.disk());
            out.writeBoolean(response.group());
            out.writeBoolean(response.member());
        }
    }

    /** Writes what replicas receive. */
    private record RequestWriter(DataOutputStream out) implements EventLogMessage.ReplicaHandler<IOException> {

        @Override
        public void follow(EventLogMessage.Follow follow) throws IOException {
            out.writeByte(FOLLOW);
            out.writeLong(follow.incarnation());
            out.writeLong(follow.requestId());
            out.writeLong(follow.logId());
            out.writeLong(follow.position());
            out.writeBoolean(follow.wantsAnswer());
        }

        @Override
        public void openSession(EventLogMessage.OpenSession open) throws IOException {
            out.writeByte(OPEN_SESSION);
            out.writeLong(open.nonce());
        }

        @Override
        public void append(EventLogMessage.Append append) throws IOException {
            out.writeByte(APPEND);
            out.writeLong(append.session());
            out.writeLong(append.call());
            EventCodec.writeEvents(append.events(), out);
        }

        @Override
        public void readIndex(EventLogMessage.ReadIndex read) throws IOException {
            out.writeByte(READ_INDEX);
            out.writeLong(read.number());
        }

        @Override
        public void readIndexAnswer(EventLogMessage.ReadIndexAnswer answer) throws IOException {
            out.writeByte(READ_INDEX_ANSWER);
            out.writeLong(answer.number());
            out.writeLong(answer.head());
        }
    }

    /** Writes what directors receive. */
    private record ResponseWriter(DataOutputStream out) implements EventLogMessage.DirectorHandler<IOException> {

        @Override
        public void batch(EventLogMessage.Batch batch) throws IOException {
            out.writeByte(BATCH);
            out.writeLong(batch.incarnation());
            out.writeLong(batch.requestId());
            out.writeLong(batch.logId());
            out.writeLong(batch.provenHead());
            out.writeLong(batch.proofAgeUs());
            writeRange(batch.range(), out);
        }

        @Override
        public void sessionOpened(EventLogMessage.SessionOpened opened) throws IOException {
            out.writeByte(SESSION_OPENED);
            out.writeLong(opened.nonce());
            out.writeLong(opened.session());
        }

        @Override
        public void appendAnswer(EventLogMessage.AppendAnswer answer) throws IOException {
            out.writeByte(APPEND_ANSWER);
            out.writeLong(answer.session());
            out.writeLong(answer.call());
            out.writeByte(answer.result().outcome().ordinal());
            out.writeLong(answer.result().last());
        }

        @Override
        public void redirect(EventLogMessage.Redirect redirect) throws IOException {
            out.writeByte(REDIRECT);
            out.writeShort(redirect.leader());
        }
    }

    private static void writeRange(LogRange range, DataOutputStream out) throws IOException {
        out.writeLong(range.from());
        out.writeLong(range.to());
        out.writeLong(range.completeAt());
        TruncatedPrefix prefix = range.truncatedPrefix();
        out.writeBoolean(prefix != null);
        if (prefix != null) {
            out.writeLong(prefix.sequence());
            out.writeLong(prefix.createdAtMs());
        }
        EventCodec.writeEntries(range.from(), range.entries(), out);
    }

    /** Reads a packet; an unchecked exception means that its bytes are not one. */
    Packet read(DataInputStream in) throws IOException, InvalidPacketException {
        int type = in.readUnsignedByte();
        return switch (type) {
            case RAFT -> new Packet.RaftPacket(in.readLong(), raft.read(in));
            case JOIN_REQUEST -> new Packet.JoinRequest(in.readLong(), in.readBoolean());
            case JOIN_RESPONSE -> new Packet.JoinResponse(in.readLong(), in.readBoolean(), in.readBoolean());
            default -> new Packet.EventLogPacket(readMessage(type, in));
        };
    }

    private static EventLogMessage readMessage(int type, DataInputStream in)
            throws IOException, InvalidPacketException {
        return switch (type) {
            case FOLLOW -> new EventLogMessage.Follow(in.readLong(), in.readLong(), in.readLong(), in.readLong(),
                    in.readBoolean());
            case BATCH ->
                new EventLogMessage.Batch(in.readLong(), in.readLong(), in.readLong(), in.readLong(), in.readLong(),
                        readRange(in));
            case OPEN_SESSION -> new EventLogMessage.OpenSession(in.readLong());
            case SESSION_OPENED -> new EventLogMessage.SessionOpened(in.readLong(), in.readLong());
            case APPEND -> new EventLogMessage.Append(in.readLong(), in.readLong(), EventCodec.readEvents(in));
            case APPEND_ANSWER ->
                new EventLogMessage.AppendAnswer(in.readLong(), in.readLong(), new EventLog.AppendResult(
                        EventLog.AppendOutcome.values()[in.readUnsignedByte()], in.readLong()));
            case REDIRECT -> new EventLogMessage.Redirect(in.readShort());
            case READ_INDEX -> new EventLogMessage.ReadIndex(in.readLong());
            case READ_INDEX_ANSWER -> new EventLogMessage.ReadIndexAnswer(in.readLong(), in.readLong());
            default -> throw new InvalidPacketException("of an unknown kind: a later version may have sent it");
        };
    }

    private static LogRange readRange(DataInputStream in) throws IOException {
        long from = in.readLong();
        long to = in.readLong();
        long completeAt = in.readLong();
        TruncatedPrefix prefix = in.readBoolean() ? new TruncatedPrefix(in.readLong(), in.readLong()) : null;
        return new LogRange(from, to, completeAt, prefix, EventCodec.readEntries(from, in));
    }
}
