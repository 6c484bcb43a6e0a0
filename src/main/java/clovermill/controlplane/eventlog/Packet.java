package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.EventLogMessage;
import io.microraft.model.message.RaftMessage;

/** The content of one datagram between processes of the fleet. */
sealed interface Packet {

    /** Calls the handler's method for this packet. */
    <X extends Exception> void dispatch(Handler<X> handler) throws X;

    /**
     * Handles each kind of packet.
     *
     * @param <X> the checked exception of its methods
     */
    interface Handler<X extends Exception> {
        /** A message of the event log's protocol. */
        void eventLogPacket(EventLogPacket packet) throws X;

        /** A message of Raft. */
        void raftPacket(RaftPacket packet) throws X;

        /** A replica asks to join the group. */
        void joinRequest(JoinRequest request) throws X;

        /** The answer to a join request. */
        void joinResponse(JoinResponse response) throws X;
    }

    /** A message between directors and replicas, or among replicas. */
    record EventLogPacket(EventLogMessage message) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.eventLogPacket(this);
        }
    }

    /** A message of Raft, addressed to the disk identity that the receiver is expected to have. */
    record RaftPacket(long disk, RaftMessage message) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.raftPacket(this);
        }
    }

    /**
     * A replica asks to join the Raft group.
     *
     * @param disk the identity of its disk
     * @param empty whether its disk holds no group yet; it then asks whether there is one
     */
    record JoinRequest(long disk, boolean empty) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.joinRequest(this);
        }
    }

    /**
     * The answer to a {@link JoinRequest}.
     *
     * @param disk the disk identity of the replica that asked
     * @param group whether the sender belongs to a group
     * @param member whether that disk is a voting member of it
     */
    record JoinResponse(long disk, boolean group, boolean member) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.joinResponse(this);
        }
    }
}
