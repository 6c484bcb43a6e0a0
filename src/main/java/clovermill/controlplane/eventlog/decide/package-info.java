/**
 * Decisions of the event log, without I/O, clock or threads: the owner passes time (microseconds of its own clock) and
 * randomness in.
 *
 * <p>At a replica: {@link clovermill.controlplane.eventlog.decide.EventLog} is the log itself, with sequence numbers,
 * compaction by subject, retention by bytes and client sessions; {@link
 * clovermill.controlplane.eventlog.decide.ReplicaFeed} limits the batches to each director by window and rate.
 * At a director: {@link clovermill.controlplane.eventlog.decide.Follower} tracks the position and selects the replica,
 * {@link clovermill.controlplane.eventlog.decide.FreshnessLease} computes until when the copy is proven complete, and
 * {@link clovermill.controlplane.eventlog.decide.AppendClient} appends each call once. They exchange {@link
 * clovermill.controlplane.eventlog.decide.EventLogMessage}s. The invariants are in {@code docs/design/event-log.md}.
 */
package clovermill.controlplane.eventlog.decide;
