package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.EventLogMessage;
import io.microraft.model.message.RaftMessage;

/** What a datagram carries. */
sealed interface Packet {

    /** A message between directors and replicas. */
    record EventLogPacket(EventLogMessage message) implements Packet {}

    /** A message of Raft for the disk that the receiver has. */
    record RaftPacket(long disk, RaftMessage message) implements Packet {}

    /** A replica asks to be taken in with a disk; or, where it has nothing, whether there is a group. */
    record JoinRequest(long disk, boolean empty) implements Packet {}

    /** The answer: whether the sender has a group, and whether the asker's disk votes in it. */
    record JoinResponse(long disk, boolean group, boolean member) implements Packet {}
}
