package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The state shared by all connections of a server.
 *
 * @param proxy receives the requests
 * @param reader parses and validates requests
 * @param budget memory budget for bodies and queued frames
 * @param clock the event loop's clock
 * @param deadlines the event loop's timers
 * @param retryAfterMs retry delay sent with a rejection, in milliseconds
 * @param ready whether the director can serve requests
 * @param rejectingNew whether new requests are rejected because of a shutdown
 * @param idle the connections without open requests
 * @param closed called with each connection after its close
 */
record ServerContext(ProxyCore proxy, RequestReader reader, Budget budget, Clock clock, Deadlines deadlines,
        LongSupplier retryAfterMs, BooleanSupplier ready, BooleanSupplier rejectingNew, IdleConnections idle,
        Consumer<FrameConnection> closed) {}
