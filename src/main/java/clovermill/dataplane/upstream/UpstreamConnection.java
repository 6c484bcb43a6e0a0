package clovermill.dataplane.upstream;

import clovermill.config.LoadReportParser;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Body;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines.Deadline;
import clovermill.runtime.net.ProtocolException;
import clovermill.runtime.net.SocketErrors;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * One connection to a member. It owns its exchanges and ends each of them with its response, its timeout, or the close
 * of the connection.
 */
final class UpstreamConnection implements ConnectionHandler {

    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    private final UpstreamPool pool;
    private final Connection connection;
    private final ResponseParser parser;
    private final Budget budget;
    private final Map<String, UpstreamExchange> openById = new HashMap<>();
    private final SendQueue sendQueue;
    private final RecentIds recentIds = new RecentIds();
    private final ResponseWatchdog watchdog;
    /** Cancelled exchanges that are partly written. */
    private final List<UpstreamExchange> partlyWritten = new ArrayList<>(1);
    private Deadline dialOrIdleTimeout;
    private boolean connected;
    private boolean retired;
    private boolean closed;
    /** Time of the first write after the last received byte; 0 if there was none. */
    private long unansweredSinceUs;

    UpstreamConnection(UpstreamPool pool, Connection connection, Budget budget) {
        this.pool = pool;
        this.connection = connection;
        this.budget = budget;
        this.parser = new ResponseParser(budget, this::handleResponse);
        this.watchdog = new ResponseWatchdog(pool, connection, parser);
        this.sendQueue = new SendQueue(pool, connection, this::endExpired);
        this.dialOrIdleTimeout = pool.addDialTimeout(connection::close);
    }

    boolean isRetired() {
        return retired;
    }

    boolean isConnected() {
        return connected;
    }

    int openExchanges() {
        return openById.size();
    }

    /** Returns whether a request may be sent here: no response to another request with its id may still arrive. */
    boolean accepts(String id, int maxStreams) {
        return !retired && openById.size() < maxStreams && !openById.containsKey(id)
                && !recentIds.contains(id, pool.nowUs());
    }

    /** Returns whether queued requests wait only for the end of the event loop's turn. */
    boolean waitsOnlyForFlush() {
        return connected && connection.isWriteIdle();
    }

    UpstreamExchange send(CacheRequest request) {
        UpstreamExchange exchange = new UpstreamExchange(this, request);
        if (connected) {
            pool.cancel(dialOrIdleTimeout);
        }
        openById.put(exchange.id, exchange);
        sendQueue.add(exchange);
        // Bounds the delay of drains and purges: a request begins within a dial timeout or not at all.
        exchange.beginTimeout = pool.addDialTimeout(() -> withdraw(exchange, Result.CONNECT_FAILED));
        connection.requestFlush();
        return exchange;
    }

    /** Ends the matching queued exchanges with {@code result}; stops writing those that are partly written. */
    void withdraw(Predicate<UpstreamExchange> matches, Result result) {
        sendQueue.snapshot().stream().filter(matches).forEach(exchange -> withdraw(exchange, result));
        possiblyUnwritten().filter(matches).forEach(UpstreamExchange::revoke);
    }

    private void withdraw(UpstreamExchange exchange, Result result) {
        if (sendQueue.remove(exchange)) {
            openById.remove(exchange.id, exchange);
            pool.cancel(exchange.beginTimeout);
            exchange.end(result, CacheStatus.NONE, 0, null);
            updateAfterEnd();
        }
    }

    private Stream<UpstreamExchange> possiblyUnwritten() {
        return Stream.concat(openById.values().stream(), partlyWritten.stream());
    }

    /** Ends a request whose deadline has passed, or whose client no longer waits, before it begins. */
    private void endExpired(UpstreamExchange exchange) {
        pool.cancel(exchange.beginTimeout);
        openById.remove(exchange.id, exchange);
        exchange.end(Result.NOT_SENT, CacheStatus.NONE, 0, null);
    }

    /** Cancels an exchange; its listener is no longer called. */
    void cancel(UpstreamExchange exchange) {
        if (openById.remove(exchange.id, exchange)) {
            pool.cancel(exchange.beginTimeout);
            sendQueue.remove(exchange);
            if (exchange.begun()) {
                cancelBegun(exchange);
            }
            updateAfterEnd();
        }
    }

    private void cancelBegun(UpstreamExchange exchange) {
        if (!exchange.isWritten()) {
            partlyWritten.add(exchange);
        }
        recentIds.addCancelled(exchange.id);
        connection.send(RequestEncoder.cancellation(exchange.id));
        // A machine that is down or hangs resets no connection, so one without input for a dial timeout is not reused.
        boolean silent = unansweredSinceUs > 0 && pool.hasDialTimeoutPassed(unansweredSinceUs);
        if (silent || recentIds.isFull()) {
            retire();
        }
        if (parser.isReading(exchange.id)) {
            watchdog.closeUnlessProgressing(exchange.id);
        }
    }

    /** Stops accepting requests and closes the connection once no exchange is open. */
    void retire() {
        retired = true;
        updateAfterEnd();
    }

    void closeIfIdle() {
        if (openById.isEmpty()) {
            connection.close();
        }
    }

    /** Closes a retired connection, or starts the idle timeout, once no exchange is open. */
    private void updateAfterEnd() {
        if (closed || !openById.isEmpty()) {
            return;
        }
        if (retired) {
            connection.closeWhenFlushed();
        } else if (connected) {
            pool.cancel(dialOrIdleTimeout);
            dialOrIdleTimeout = pool.addIdleTimeout(connection::close);
        }
    }

    @Override
    public void connected() {
        pool.cancel(dialOrIdleTimeout);
        connected = true;
        updateAfterEnd();
    }

    /**
     * Begins queued requests. This is at the end of a turn, so those cancelled by a response read in it never begin.
     */
    @Override
    public void flushing() {
        partlyWritten.removeIf(UpstreamExchange::isWritten);
        long nowUs = pool.nowUs();
        if (connection.queuedBytes() > 0 && possiblyUnwritten().anyMatch(each -> each.mustStop(nowUs))) {
            connection.close(); // queued bytes cannot be withdrawn individually
            return;
        }
        if (connected && !sendQueue.isEmpty()) {
            sendQueue.beginBatch(nowUs);
            updateAfterEnd();
        }
    }

    @Override
    public void writeBlocked() {
        sendQueue.retractUnwritten();
        endBatch();
    }

    @Override
    public void flushed() {
        endBatch();
        if (!sendQueue.isEmpty()) {
            connection.requestFlush();
        }
    }

    private void endBatch() {
        if (sendQueue.endBatch() && unansweredSinceUs == 0) {
            unansweredSinceUs = pool.nowUs();
        }
    }

    @Override
    public void received(ByteBuffer data) throws IOException {
        watchdog.recordReceived();
        unansweredSinceUs = 0;
        parser.parse(data);
        if (parser.awaitsBudget()) {
            connection.pause();
            budget.await(connection::resume);
        }
        watchdog.watch();
    }

    private void handleResponse(String id, String word, Map<String, String> fields, Body body)
            throws ProtocolException {
        UpstreamExchange exchange = openById.get(id);
        if (exchange == null || !exchange.begun()) { // late, duplicate, or with an unknown id
            recentIds.removeCancelled(id);
            body.close();
            return;
        }
        ResponseFields decoded = ResponseFields.decode(word, fields);
        openById.remove(id);
        recentIds.addAnswered(id, pool.nowUs());
        unansweredSinceUs = openById.isEmpty() ? 0 : watchdog.lastReceivedUs();
        reportLoad(exchange, decoded.gauges());
        exchange.end(decoded.result(), decoded.cacheStatus(), decoded.waitedUs(), response(decoded, body));
        updateAfterEnd();
    }

    /** Returns the response, whose body the listener owns; for any result but OK closes the body and returns null. */
    private static UpstreamResponse response(ResponseFields decoded, Body body) {
        if (decoded.result() == Result.OK) {
            return new UpstreamResponse(body, decoded.notModified(), decoded.tag());
        }
        body.close();
        return null;
    }

    /** Passes a load report to the listener; ignores a malformed report, since its response is still valid. */
    private static void reportLoad(UpstreamExchange exchange, String gauges) {
        if (gauges == null) {
            return;
        }
        try {
            exchange.listener.loadReported(LoadReportParser.parse(gauges, ";"));
        } catch (NumberFormatException unreadable) {
            LOG.log(System.Logger.Level.DEBUG, "ignored a malformed load report: {0}", gauges);
        }
    }

    @Override
    public void ended() {
        connection.close();
    }

    /**
     * Ends all open exchanges. A request that was not written completely was not processed; any other may have been.
     * Only a failed or slow dial counts against the member, since a reset may arrive at any time.
     */
    @Override
    public void closed(IOException cause) {
        closed = true;
        retired = true;
        pool.cancel(dialOrIdleTimeout);
        watchdog.close();
        pool.connectionClosed(this);
        parser.close();
        sendQueue.clear();
        boolean dialFailed = !connected && (cause == null || SocketErrors.isOfPeer(cause));
        Result unwritten = dialFailed ? Result.CONNECT_FAILED : Result.NOT_SENT;
        while (!openById.isEmpty()) {
            UpstreamExchange exchange = openById.remove(openById.keySet().iterator().next());
            pool.cancel(exchange.beginTimeout);
            exchange.end(exchange.isWritten() ? Result.CONNECTION_LOST : unwritten, CacheStatus.NONE, 0, null);
        }
    }
}
