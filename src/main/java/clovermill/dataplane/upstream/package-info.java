/**
 * Connections to the members, which answer attempts and probes in the lines protocol.
 * {@link clovermill.dataplane.upstream.UpstreamPool} is the entry point: it selects or dials a connection for each
 * request.
 * {@code UpstreamConnection} owns the exchanges on one connection, {@code SendQueue} begins them when nothing unwritten
 * precedes them, {@code ResponseParser} parses the responses, and {@code ResponseWatchdog} closes a connection whose
 * response stalls.
 *
 * <p>All classes run on the event loop's thread. The routing module decides which member gets an attempt and whether
 * a failed one is retried.
 */
package clovermill.dataplane.upstream;
