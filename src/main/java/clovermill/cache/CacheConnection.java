package clovermill.cache;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.config.LoadReports;
import clovermill.host.Answer;
import clovermill.host.Upstream;
import clovermill.net.Body;
import clovermill.net.Budget;
import clovermill.net.Connection;
import clovermill.net.Deadlines.Deadline;
import clovermill.net.ProtocolException;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One connection to a member. It owns its exchanges and ends each of them: by its answer, or when the
 * connection ends. A request stays out of the socket's buffer until all before it is written, so that it can
 * still be withdrawn with proof that nothing of it was sent.
 */
final class CacheConnection implements Connection.Handler {

    /** Given-up ids that are remembered, lest a late answer be taken for that of a further attempt. */
    private static final int MOST_ABANDONED = 1000;

    private static final System.Logger LOG = System.getLogger(CacheConnection.class.getName());
    private static final Map<String, Note> NOTE_NAMES = Map.of("HIT", Note.HIT, "MISS", Note.FILLED,
            "MISS_ORIGIN", Note.ORIGIN_ASKED, "COLLAPSED", Note.JOINED, "STALE", Note.STALE,
            "UP_BUSY", Note.SOURCE_REFUSED, "UP_DOWN", Note.SOURCE_UNREACHED, "UP_MISS", Note.SOURCE_LACKS,
            "NO_FILL", Note.NO_PLACE, "ORIGIN_ERR", Note.ORIGIN_FAILED);

    /** An exchange: queued here, then sent, then ended or given up. */
    final class Exchange implements Upstream.Exchange {
        final String id;
        final String source;
        private final List<ByteBuffer> request;
        private final Upstream.Ending ending;
        private boolean begun;
        private boolean whole;
        private Deadline beginBy;

        Exchange(String id, String source, List<ByteBuffer> request, Upstream.Ending ending) {
            this.id = id;
            this.source = source;
            this.request = request;
            this.ending = ending;
        }

        @Override
        public boolean heldHere() {
            return !begun && connected && connection.queuedBytes() == 0;
        }

        @Override
        public boolean giveUp() {
            if (open.remove(id, this)) {
                pool.cancel(beginBy);
                waiting.remove(this);
                if (begun) {
                    abandoned.add(id);
                    connection.send(text("never_mind " + id + "\r\n"));
                    // Guards against a machine that vanished, and one that answers no more here: it resets
                    // nothing, so a connection on which nothing came while requests waited is not trusted.
                    boolean silent = unheardSinceUs > 0 && pool.dialTimeHasPassed(unheardSinceUs);
                    if (silent || abandoned.size() >= MOST_ABANDONED) {
                        retire();
                    }
                }
                settled();
            }
            return begun;
        }

        private void begin() {
            pool.cancel(beginBy);
            begun = true;
            unheardSinceUs = unheardSinceUs == 0 ? pool.now() : unheardSinceUs;
            for (ByteBuffer part : request.subList(0, request.size() - 1)) {
                connection.send(part);
            }
            connection.send(request.get(request.size() - 1), () -> whole = connection.isOpen());
        }

        private void end(Result result, Note note, long waitedUs, Answer answer) {
            pool.cancel(beginBy);
            ending.ended(result, note, waitedUs, answer);
        }
    }

    private final CachePool pool;
    private final Connection connection;
    private final AnswerParser parser;
    private final Budget budget;
    private final Map<String, Exchange> open = new HashMap<>();
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private final Set<String> abandoned = new HashSet<>();
    private Deadline dialOrIdle;
    private Deadline stall;
    private boolean connected;
    private boolean retired;
    private boolean closed;
    private long heardUs;
    /** When the first request went out since anything was heard; 0 if none did. */
    private long unheardSinceUs;

    CacheConnection(CachePool pool, Connection connection, Budget budget) {
        this.pool = pool;
        this.connection = connection;
        this.budget = budget;
        this.parser = new AnswerParser(budget, this::answer);
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
        return !retired && open.size() < streams && !open.containsKey(id) && !abandoned.contains(id);
    }

    Exchange send(String id, String source, List<ByteBuffer> request, Upstream.Ending ending) {
        Exchange exchange = new Exchange(id, source, request, ending);
        if (connected) {
            pool.cancel(dialOrIdle);
        }
        open.put(id, exchange);
        waiting.add(exchange);
        // Guards the drain and purge rules: what could not be begun in a dial's time must not go out later.
        exchange.beginBy = pool.dialDeadline(() -> withdraw(exchange));
        connection.flushSoon();
        return exchange;
    }

    /** Withdraws queued requests that would go to, or be filled from, a member that is given no more work. */
    void withdraw(boolean all, Set<String> sources) {
        for (Exchange exchange : waiting.toArray(new Exchange[0])) {
            if (all || sources.contains(exchange.source)) {
                withdraw(exchange);
            }
        }
    }

    private void withdraw(Exchange exchange) {
        if (waiting.remove(exchange)) {
            open.remove(exchange.id, exchange);
            exchange.end(Result.UNCONNECTED, Note.NONE, 0, null);
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
            for (Exchange next = waiting.poll(); next != null; next = waiting.poll()) {
                if (next.ending.may()) {
                    next.begin();
                } else {
                    open.remove(next.id, next);
                    next.end(Result.NOT_SENT, Note.NONE, 0, null);
                }
            }
            settled();
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
        if (connection.queuedBytes() > 0
                && open.values().stream().anyMatch(each -> each.begun && !each.whole && !each.ending.may())) {
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
        heardUs = pool.now();
        unheardSinceUs = 0;
        parser.parse(data);
        if (parser.waitsForRoom()) {
            connection.pause();
            budget.await(connection::resume);
        }
        watch();
    }

    /**
     * Guards against an answer that stops short while its connection stays open: what is behind it on the
     * same connection can never be read, so that all on it would wait in vain for their whole time.
     */
    private void watch() {
        if (stall == null && parser.midAnswer() && connection.isOpen()) {
            stall = pool.dialDeadline(() -> {
                stall = null;
                if (parser.midAnswer() && !parser.waitsForRoom() && pool.dialTimeHasPassed(heardUs)) {
                    connection.close();
                } else {
                    watch();
                }
            });
        }
    }

    private void answer(String id, String word, Map<String, String> fields, Body body)
            throws ProtocolException {
        Exchange exchange = open.get(id);
        if (exchange == null || !exchange.begun) {
            // A late answer, a second copy or one under an unknown id: it costs only itself.
            abandoned.remove(id);
            body.close();
            return;
        }
        Result result;
        try {
            result = result(word);
        } catch (ProtocolException malformed) {
            body.close();
            throw malformed;
        }
        Note note = NOTE_NAMES.getOrDefault(fields.getOrDefault("res", ""), Note.NONE);
        long waitedUs = micros(fields.get("ttfb"));
        open.remove(id);
        unheardSinceUs = open.isEmpty() ? 0 : heardUs;
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
    private static void report(Exchange exchange, String gauges) {
        try {
            exchange.ending.reported(LoadReports.read(gauges, ";"));
        } catch (NumberFormatException unreadable) {
            LOG.log(System.Logger.Level.DEBUG, "not a load report: {0}", gauges);
        }
    }

    private static Result result(String word) throws ProtocolException {
        return switch (word) {
            case "DONE", "KEEP", "FIT" -> Result.OK;
            case "LACK" -> Result.MISS;
            case "WAIT" -> Result.REFUSED;
            case "BROKE", "UNFIT" -> Result.ERROR;
            case "PAST" -> Result.NOT_SENT;
            default -> throw new ProtocolException("an unknown word in an answer");
        };
    }

    private static long micros(String millis) throws ProtocolException {
        try {
            return millis == null ? 0 : (long) (Double.parseDouble(millis) * 1000);
        } catch (NumberFormatException e) {
            throw new ProtocolException("not a time in an answer");
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
        pool.cancel(stall);
        pool.closed(this);
        parser.close();
        waiting.clear();
        Result unsent = connected || cause != null && !(cause instanceof ConnectException) ? Result.NOT_SENT
                : Result.UNCONNECTED;
        while (!open.isEmpty()) {
            Exchange exchange = open.remove(open.keySet().iterator().next());
            exchange.end(exchange.whole ? Result.BROKEN : unsent, Note.NONE, 0, null);
        }
    }

    private static ByteBuffer text(String line) {
        return ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
    }
}
