/**
 * A replicated, ordered log of the fleet's events (purges first) that every director follows: the entry type is
 * {@link clovermill.controlplane.eventlog.EventLogTask}, which is a replica, a follower, a client that appends, or
 * several of these. What it decides stands in {@code eventlog.decide}; the replicas agree by {@code
 * clovermill.controlplane.consensus}. Off without settings. See {@code docs/design/event-log.md}.
 */
package clovermill.controlplane.eventlog;
