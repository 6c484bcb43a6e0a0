package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.EventLogMessage;
import io.microraft.model.message.RaftMessage;

/** The content of one datagram between processes of the fleet. */
sealed interface Packet {

    /** Calls the handler's method for this packet. */
    <X extends Exception> void dispatch(Handler<X> handler) throws X;

    /**
     * A handler of each kind of packet.
     *
     * @param <X> the checked exception of its methods
     */
    interface Handler<X extends Exception> {
        /** Handles a message of the event log's protocol. */
        void eventLogPacket(EventLogPacket packet) throws X;

        /** Handles a Raft message. */
        void raftPacket(RaftPacket packet) throws X;

        /** Handles a replica's request to join the group. */
        void joinRequest(JoinRequest request) throws X;

        /** Handles the answer to a join request. */
        void joinResponse(JoinResponse response) throws X;
    }

    /** A message between directors and replicas, or among replicas. */
    record EventLogPacket(EventLogMessage message) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.eventLogPacket(this);
        }
    }

    /** A Raft message, addressed to the disk identity that the receiver is expected to have. */
    record RaftPacket(long disk, RaftMessage message) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.raftPacket(this);
        }
    }

    /**
     * A replica's request to join the Raft group.
     *
     * @param disk the identity of the replica's disk
     * @param empty true if its disk has no group state yet; it then also asks whether a group exists
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
     * @param disk the disk identity of the replica that sent the request
     * @param group true if the sender belongs to a group
     * @param member true if that disk is a voting member of the group
     */
    record JoinResponse(long disk, boolean group, boolean member) implements Packet {
        @Override
        public <X extends Exception> void dispatch(Handler<X> handler) throws X {
            handler.joinResponse(this);
        }
    }
}
