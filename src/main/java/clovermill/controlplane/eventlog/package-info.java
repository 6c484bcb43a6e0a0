/**
 * A replicated, ordered log of the fleet's events, purges first, that every director follows.
 *
 * <p>The entry point is {@link clovermill.controlplane.eventlog.EventLogTask}, one task in each process. Its role is
 * either {@code EventLogReplica} (a Raft member that stores the log, appends for clients while it is the leader, and
 * feeds directors) or {@code EventLogDirector} (follows one replica, delivers events in order, and appends). Processes
 * exchange {@code Packet}s as signed datagrams: {@code PacketCodec} encodes the envelope, {@code PacketBodyCodec} the
 * fields, {@code EventOperationCodec} the content of Raft's log and snapshots. {@code EventLogStateMachine} applies
 * Raft's log to {@link clovermill.controlplane.eventlog.decide.EventLog}.
 *
 * <p>Decisions without I/O are in {@link clovermill.controlplane.eventlog.decide}; the consensus among replicas is in
 * {@link clovermill.controlplane.consensus}. Disabled unless configured. Invariants and bounds: {@code
 * docs/design/event-log.md}.
 */
package clovermill.controlplane.eventlog;
