/**
 * The server side: connections of clients that speak the binary frame protocol.
 *
 * <p>
 * {@link clovermill.dataplane.server.FrameServer} listens, accepts and closes connections; it is a
 * {@link clovermill.dataplane.server.ClientServer}, as the shutdown sees it. Each connection is a {@code
 * FrameConnection}, whose {@code FrameIntake} parses frames, throttles the client and holds its frames meanwhile, and
 * whose {@code ClientStreams} pass requests to {@link clovermill.dataplane.proxy.ProxyCore} and write the answers.
 *
 * <p>
 * All of it runs on the event loop's thread. Memory comes from the loop's {@code Budget}; each class that takes some
 * returns it in one place, at the latest when its connection closes. Bad input is answered with an error, never logged.
 */
package clovermill.dataplane.server;
