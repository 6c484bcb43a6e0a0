package clovermill.cache;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.config.LoadReports;
import clovermill.host.Answer;
import clovermill.net.Body;
import clovermill.net.Budget;
import clovermill.net.Connection;
import clovermill.net.Deadlines.Deadline;
import clovermill.net.ProtocolException;
import clovermill.net.SocketErrors;
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
final class CacheConnection implements Connection.Handler {

    private static final System.Logger LOG = System.getLogger(CacheConnection.class.getName());
    private final CachePool pool;
    private final Connection connection;
    private final AnswerParser parser;
    private final Budget budget;
    private final Map<String, CacheExchange> open = new HashMap<>();
    private final ArrayDeque<CacheExchange> waiting = new ArrayDeque<>();
    private final SpentIds spent = new SpentIds();
    private final AnswerGuard guard;
    /** What was given up with a part of it unwritten. */
    private final List<CacheExchange> unfinished = new ArrayList<>(1);
    private Deadline dialOrIdle;
    private boolean connected;
    private boolean retired;
    private boolean closed;
    /** When the first request went out since anything was heard; 0 if none did. */
    private long unheardSinceUs;

    CacheConnection(CachePool pool, Connection connection, Budget budget) {
        this.pool = pool;
        this.connection = connection;
        this.budget = budget;
        this.parser = new AnswerParser(budget, this::answer);
        this.guard = new AnswerGuard(pool, connection, parser);
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
        return connected && connection.queuedBytes() == 0;
    }

    CacheExchange send(CacheRequest request) {
        CacheExchange exchange = new CacheExchange(this, request);
        if (connected) {
            pool.cancel(dialOrIdle);
        }
        open.put(exchange.id, exchange);
        waiting.add(exchange);
        // Guards the drain and purge rules: what could not be begun in a dial's time must not go out later.
        exchange.beginBy = pool.dialDeadline(() -> withdraw(exchange, Result.UNCONNECTED));
        connection.flushSoon();
        return exchange;
    }

    /** Withdraws what is queued and {@code which} names; what is half written is to go no further. */
    void withdraw(Predicate<CacheExchange> which, Result result) {
        List.copyOf(waiting).stream().filter(which).forEach(exchange -> withdraw(exchange, result));
        Stream.concat(open.values().stream(), unfinished.stream()).filter(which).forEach(CacheExchange::revoke);
    }

    private void withdraw(CacheExchange exchange, Result result) {
        if (waiting.remove(exchange)) {
            open.remove(exchange.id, exchange);
            pool.cancel(exchange.beginBy);
            exchange.end(result, Note.NONE, 0, null);
            settled();
        }
    }

    /** Nobody waits for it any more on this side. */
    void givenUp(CacheExchange exchange) {
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

    private void begin() {
        if (connected && connection.queuedBytes() == 0 && !waiting.isEmpty()) {
            for (CacheExchange next = waiting.poll(); next != null; next = waiting.poll()) {
                pool.cancel(next.beginBy);
                if (next.mayBegin(pool.now())) {
                    begin(next);
                } else {
                    open.remove(next.id, next);
                    next.end(Result.NOT_SENT, Note.NONE, 0, null);
                }
            }
            settled();
        }
    }

    private void begin(CacheExchange exchange) {
        unheardSinceUs = unheardSinceUs == 0 ? pool.now() : unheardSinceUs;
        List<ByteBuffer> parts = exchange.begin(pool.now());
        for (ByteBuffer part : parts.subList(0, parts.size() - 1)) {
            connection.send(part);
        }
        connection.send(parts.get(parts.size() - 1), () -> exchange.written(connection.isOpen()));
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
        unfinished.removeIf(CacheExchange::isWhole);
        if (connection.queuedBytes() > 0
                && Stream.concat(open.values().stream(), unfinished.stream()).anyMatch(CacheExchange::mustStop)) {
            connection.close(); // what is still queued here must not go out any more
            return;
        }
        begin();
    }

    @Override
    public void flushed() {
        if (!waiting.isEmpty()) {
            connection.flushSoon();
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
        CacheExchange exchange = open.get(id);
        if (exchange == null || !exchange.begun()) {
            // A late answer, a second copy or one under an unknown id: it costs only itself.
            spent.late(id);
            body.close();
            return;
        }
        Result result;
        try {
            result = AnswerWords.result(word);
        } catch (ProtocolException malformed) {
            body.close();
            throw malformed;
        }
        Note note = AnswerWords.note(fields.get("res"));
        long waitedUs = AnswerWords.micros(fields.get("ttfb"));
        open.remove(id);
        spent.answered(id, pool.now());
        unheardSinceUs = open.isEmpty() ? 0 : guard.heardUs();
        Answer answer = result != Result.OK ? null : new Answer(body, word.equals("KEEP"), fields.get("etag"));
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
    private static void report(CacheExchange exchange, String gauges) {
        try {
            exchange.ending.reported(LoadReports.read(gauges, ";"));
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
        Result unsent = connected || cause != null && !SocketErrors.isOfPeer(cause) ? Result.NOT_SENT
                : Result.UNCONNECTED;
        while (!open.isEmpty()) {
            CacheExchange exchange = open.remove(open.keySet().iterator().next());
            pool.cancel(exchange.beginBy);
            exchange.end(exchange.isWhole() ? Result.BROKEN : unsent, Note.NONE, 0, null);
        }
    }

    private static ByteBuffer text(String line) {
        return ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
    }
}
