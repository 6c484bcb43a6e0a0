package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What all connections of one server share.
 *
 * @param proxy gets the requests
 * @param reader parses and validates requests
 * @param budget memory for bodies and held frames
 * @param clock the loop's clock
 * @param deadlines the loop's timers
 * @param retryAfterMs delay that a rejected client is asked to wait, in milliseconds
 * @param ready whether the director can serve requests
 * @param rejectingNew whether new requests are rejected, during a shutdown
 * @param idle the connections without open requests
 * @param closed called with each connection that was closed
 */
record ServerContext(ProxyCore proxy, RequestReader reader, Budget budget, Clock clock, Deadlines deadlines,
        LongSupplier retryAfterMs, BooleanSupplier ready, BooleanSupplier rejectingNew, IdleConnections idle,
        Consumer<FrameConnection> closed) {}
