/**
 * Connections to the members, which answer attempts and probes in the lines protocol.
 * {@link clovermill.dataplane.upstream.UpstreamPool} is the entry: it chooses or dials a connection for each request.
 * {@code UpstreamConnection} owns the exchanges on one connection, {@code SendQueue} begins them when nothing unwritten
 * precedes them, {@code ResponseParser} reads the responses, and {@code ResponseWatchdog} closes a connection whose
 * response stalls.
 *
 * <p>Everything runs on the event loop's thread. Which member gets an attempt, and whether a failed one is retried, is
 * decided by the routing module.
 */
package clovermill.dataplane.upstream;
