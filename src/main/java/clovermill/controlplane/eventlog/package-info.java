/**
 * A replicated, ordered log of the fleet's events, purges first, that every director follows.
 *
 * <p>Entry: {@link clovermill.controlplane.eventlog.EventLogTask}, one task in each process. Its role is either {@code
 * EventLogReplica} (a Raft member that stores the log, appends for clients while it leads, and feeds directors) or
 * {@code EventLogDirector} (follows one replica, delivers events in order, and appends). Processes exchange {@code
 * Packet}s as signed datagrams: {@code PacketCodec} has the envelope, {@code PacketBodyCodec} the fields, {@code
 * EventOperationCodec} what Raft's log and snapshots contain. {@code EventLogStateMachine} applies Raft's log to {@link
 * clovermill.controlplane.eventlog.decide.EventLog}.
 *
 * <p>Decisions without I/O are in {@link clovermill.controlplane.eventlog.decide}; the replicas agree by {@link
 * clovermill.controlplane.consensus}. Off without settings. Invariants and bounds: {@code docs/design/event-log.md}.
 */
package clovermill.controlplane.eventlog;
