package clovermill.dataplane.upstream;

import clovermill.config.LoadReports;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Body;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines.Deadline;
import clovermill.runtime.net.ProtocolException;
import clovermill.runtime.net.SocketErrors;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * One connection to a member. It owns its exchanges and ends each of them: by its answer, or when the
 * connection ends. A request stays out of the socket's buffer until all before it is written, so that it can
 * still be withdrawn with proof that nothing of it was sent.
 */
final class UpstreamConnection implements Connection.Handler {

    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());
    /** Requests begin together until so many bytes are queued: one gathered write. */
    private static final int BATCH_BYTES = 1 << 16;
    private final UpstreamPool pool;
    private final Connection connection;
    private final ResponseParser parser;
    private final Budget budget;
    private final Map<String, UpstreamExchange> open = new HashMap<>();
    private final ArrayDeque<UpstreamExchange> waiting = new ArrayDeque<>();
    /** Those begun in this flush, of which nothing has been written up to now. */
    private final List<UpstreamExchange> batch = new ArrayList<>();
    private final RecentIds spent = new RecentIds();
    private final ResponseWatchdog guard;
    /** What was given up with a part of it unwritten. */
    private final List<UpstreamExchange> unfinished = new ArrayList<>(1);
    private Deadline dialOrIdle;
    private boolean connected;
    private boolean retired;
    private boolean closed;
    /** When the first request went out since anything was heard; 0 if none did. */
    private long unheardSinceUs;

    UpstreamConnection(UpstreamPool pool, Connection connection, Budget budget) {
        this.pool = pool;
        this.connection = connection;
        this.budget = budget;
        this.parser = new ResponseParser(budget, this::answer);
        this.guard = new ResponseWatchdog(pool, connection, parser);
        this.dialOrIdle = pool.dialDeadline(connection::close);
    }

    boolean isRetired() {
        return retired;
    }

    boolean isConnected() {
        return connected;
    }

    int openExchanges() {
        return open.size();
    }

    /** Whether a request may share this connection: no other one with its id must be possible on it. */
    boolean takes(String id, int streams) {
        return !retired && open.size() < streams && !open.containsKey(id) && !spent.contains(id, pool.now());
    }

    /** Whether nothing but the end of this turn keeps back what is queued here. */
    boolean idlesUntilFlush() {
        return connected && connection.isWriteIdle();
    }

    UpstreamExchange send(CacheRequest request) {
        UpstreamExchange exchange = new UpstreamExchange(this, request);
        if (connected) {
            pool.cancel(dialOrIdle);
        }
        open.put(exchange.id, exchange);
        waiting.add(exchange);
        // Guards the drain and purge rules: what could not be begun in a dial's time must not go out later.
        exchange.beginBy = pool.dialDeadline(() -> withdraw(exchange, Result.UNCONNECTED));
        connection.requestFlush();
        return exchange;
    }

    /** Withdraws what is queued and {@code which} names; what is half written is to go no further. */
    void withdraw(Predicate<UpstreamExchange> which, Result result) {
        List.copyOf(waiting).stream().filter(which).forEach(exchange -> withdraw(exchange, result));
        Stream.concat(open.values().stream(), unfinished.stream()).filter(which).forEach(UpstreamExchange::revoke);
    }

    private void withdraw(UpstreamExchange exchange, Result result) {
        if (waiting.remove(exchange)) {
            open.remove(exchange.id, exchange);
            pool.cancel(exchange.beginBy);
            exchange.end(result, Note.NONE, 0, null);
            settled();
        }
    }

    /** Nobody waits for it any more on this side. */
    void givenUp(UpstreamExchange exchange) {
        if (open.remove(exchange.id, exchange)) {
            pool.cancel(exchange.beginBy);
            waiting.remove(exchange);
            if (exchange.begun()) {
                if (!exchange.isWhole()) {
                    unfinished.add(exchange);
                }
                spent.abandon(exchange.id);
                connection.send(text("never_mind " + exchange.id + "\r\n"));
                // Guards against a machine that vanished, and one that answers no more here: it resets
                // nothing, so a connection on which nothing came while requests waited is not trusted.
                boolean silent = unheardSinceUs > 0 && pool.dialTimeHasPassed(unheardSinceUs);
                if (silent || spent.full()) {
                    retire();
                }
                if (parser.answers(exchange.id)) {
                    guard.endUnlessAnswered(exchange.id);
                }
            }
            settled();
        }
    }

    /** No new requests here; closes once none is open. */
    void retire() {
        retired = true;
        settled();
    }

    void closeIfIdle() {
        if (open.isEmpty()) {
            connection.close();
        }
    }

    /** Begins requests, as long as nothing unwritten stands ahead of them, up to one batch. */
    private void begin() {
        if (!connected || connection.queuedBytes() > 0 || waiting.isEmpty()) {
            return;
        }
        long nowUs = pool.now();
        // Their ends are reported, which may call off others: before any has begun.
        while (!waiting.isEmpty() && !waiting.peek().mayBegin(nowUs)) {
            UpstreamExchange refused = waiting.poll();
            pool.cancel(refused.beginBy);
            open.remove(refused.id, refused);
            refused.end(Result.NOT_SENT, Note.NONE, 0, null);
        }
        while (connection.queuedBytes() < BATCH_BYTES && !waiting.isEmpty() && waiting.peek().mayBegin(nowUs)) {
            begin(waiting.poll(), nowUs);
        }
        settled();
    }

    private void begin(UpstreamExchange exchange, long nowUs) {
        batch.add(exchange);
        List<ByteBuffer> parts = exchange.begin(nowUs);
        for (int i = 0; i < parts.size() - 1; i++) {
            connection.send(parts.get(i));
        }
        connection.send(parts.get(parts.size() - 1), () -> exchange.written(connection.isOpen()));
    }

    /** What is left of the batch has gone out, in part at least. */
    private void finishBatch() {
        if (!batch.isEmpty()) {
            unheardSinceUs = unheardSinceUs == 0 ? pool.now() : unheardSinceUs;
            for (UpstreamExchange exchange : batch) {
                pool.cancel(exchange.beginBy);
            }
            batch.clear();
        }
    }

    /** Looks after a connection that may have become idle. */
    private void settled() {
        if (closed || !open.isEmpty()) {
            return;
        }
        if (retired) {
            connection.closeWhenFlushed();
        } else if (connected) {
            pool.cancel(dialOrIdle);
            dialOrIdle = pool.idleDeadline(connection::close);
        }
    }

    @Override
    public void connected() {
        pool.cancel(dialOrIdle);
        connected = true;
        settled();
    }

    /**
     * Requests begin only now: one that is called off in the turn in which it came, because another answer was read
     * behind it, would else be written after that answer.
     */
    @Override
    public void flushing() {
        unfinished.removeIf(UpstreamExchange::isWhole);
        long nowUs = pool.now();
        if (connection.queuedBytes() > 0
                && Stream.concat(open.values().stream(), unfinished.stream()).anyMatch(each -> each.mustStop(nowUs))) {
            connection.close(); // what is still queued here must not go out any more
            return;
        }
        begin();
    }

    /** A request of which nothing has been written begins anew later, with the time that is left then. */
    @Override
    public void writeBlocked() {
        for (int i = batch.size() - 1; i >= 0 && connection.retractFrom(batch.get(i).head()); i--) {
            UpstreamExchange retracted = batch.remove(i);
            retracted.retracted();
            waiting.addFirst(retracted);
        }
        finishBatch();
    }

    @Override
    public void flushed() {
        finishBatch();
        if (!waiting.isEmpty()) {
            connection.requestFlush();
        }
    }

    @Override
    public void received(ByteBuffer data) throws IOException {
        guard.heard();
        unheardSinceUs = 0;
        parser.parse(data);
        if (parser.waitsForRoom()) {
            connection.pause();
            budget.await(connection::resume);
        }
        guard.watch();
    }

    private void answer(String id, String word, Map<String, String> fields, Body body)
            throws ProtocolException {
        UpstreamExchange exchange = open.get(id);
        if (exchange == null || !exchange.begun()) {
            // A late answer, a second copy or one under an unknown id: it costs only itself.
            spent.late(id);
            body.close();
            return;
        }
        Result result;
        try {
            result = ResponseFields.result(word);
        } catch (ProtocolException malformed) {
            body.close();
            throw malformed;
        }
        Note note = ResponseFields.note(fields.get("res"));
        long waitedUs = ResponseFields.micros(fields.get("ttfb"));
        open.remove(id);
        spent.answered(id, pool.now());
        unheardSinceUs = open.isEmpty() ? 0 : guard.heardUs();
        UpstreamResponse answer =
                result != Result.OK ? null : new UpstreamResponse(body, word.equals("KEEP"), fields.get("etag"));
        if (answer == null) {
            body.close();
        }
        String gauges = fields.get("gauges");
        if (gauges != null) {
            report(exchange, gauges);
        }
        exchange.end(result, note, waitedUs, answer);
        settled();
    }

    /** A report that can't be read is none: the answer that brought it is as good as ever. */
    private static void report(UpstreamExchange exchange, String gauges) {
        try {
            exchange.ending.loadReported(LoadReports.read(gauges, ";"));
        } catch (NumberFormatException unreadable) {
            LOG.log(System.Logger.Level.DEBUG, "not a load report: {0}", gauges);
        }
    }

    @Override
    public void ended() {
        connection.close();
    }

    /**
     * Ends all that is open: what was not written whole has never run, the rest may have. Only a connection
     * that was refused or did not come up in time speaks against the member: a reset may come at any time.
     */
    @Override
    public void closed(IOException cause) {
        closed = true;
        retired = true;
        pool.cancel(dialOrIdle);
        guard.close();
        pool.closed(this);
        parser.close();
        waiting.clear();
        batch.clear();
        Result unsent = connected || cause != null && !SocketErrors.isOfPeer(cause) ? Result.NOT_SENT
                : Result.UNCONNECTED;
        while (!open.isEmpty()) {
            UpstreamExchange exchange = open.remove(open.keySet().iterator().next());
            pool.cancel(exchange.beginBy);
            exchange.end(exchange.isWhole() ? Result.BROKEN : unsent, Note.NONE, 0, null);
        }
    }

    private static ByteBuffer text(String line) {
        return ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
    }
}
