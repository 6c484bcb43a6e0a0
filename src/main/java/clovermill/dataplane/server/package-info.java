/**
 * The server side of the data plane: client connections of the binary frame protocol.
 *
 * <p>
 * {@link clovermill.dataplane.server.FrameServer} listens, accepts and closes connections; it implements {@link
 * clovermill.dataplane.server.ClientServer}, which the graceful shutdown uses. Each connection is a {@code
 * FrameConnection}, whose {@code FrameReceiver} parses frames, throttles the client and queues its frames meanwhile,
 * and whose {@code ClientStreams} pass requests to {@link clovermill.dataplane.proxy.ProxyCore} and write the
 * responses.
 *
 * <p>
 * All classes run on the event loop's thread. Memory comes from the loop's {@code Budget}; each class that takes memory
 * returns it in one place, at the latest when its connection closes. Invalid input is answered with an error, never
 * logged.
 */
package clovermill.dataplane.server;
