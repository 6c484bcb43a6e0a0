package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** What all connections of the front share; {@code awayMs} is for how long a client that is turned away keeps away. */
record ServerContext(ProxyCore host, RequestReader reader, Budget budget, Clock clock, Deadlines deadlines,
        LongSupplier awayMs, BooleanSupplier ready, BooleanSupplier turningAway, IdleConnections idle,
        Consumer<FrameConnection> closed) {}
