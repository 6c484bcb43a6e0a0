package clovermill.controlplane.discovery;

import clovermill.config.Json;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ProtocolException;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Long-polls the command channel: the next poll leaves as soon as an answer is read. A broken connection is replaced
 * with backoff, and the first poll on it resumes after the last event that was applied.
 */
public final class DiscoveryClient implements Connection.Handler {

    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    /**
     * How long the channel may delay an answer while it has no event. It is short: events have to take effect from the
     * moment they are made, and that a channel has gone silent shows only after this time.
     */
    private static final long LONG_POLL_MS = 1000;
    private static final long ANSWER_GRACE_US = 500_000;
    /** By the protocol page events have to be applied 2 s after the end of the delay that a poll allows. */
    private static final long STALE_AFTER_US = LONG_POLL_MS * 1000 + 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Deadlines deadlines;
    private final DiscoverySettings settings;
    private final Consumer<DiscoveryEvents> listener;
    private final StalenessMonitor staleness;
    private final ReconnectBackoff backoff;
    private InetSocketAddress address;
    private Connection connection;
    private HttpResponseParser parser;
    private Deadlines.Deadline timeout;
    private Deadlines.Deadline reconnect;
    private long cursor;
    private long lastAnswerUs = DiscoveryEvents.NEVER_ANSWERED_US;

    /**
     * A client that does nothing before {@link #start()}.
     *
     * @param cursor the number of the last event that is known
     * @param listener gets each event by itself, on the loop
     */
    public DiscoveryClient(EventLoop loop, Clock clock, Deadlines deadlines, InetSocketAddress address,
            DiscoverySettings settings, long cursor, Consumer<DiscoveryEvents> listener) {
        this.loop = loop;
        this.clock = clock;
        this.deadlines = deadlines;
        this.address = address;
        this.settings = settings;
        this.cursor = cursor;
        this.listener = listener;
        this.backoff = new ReconnectBackoff(settings.bindWindowUs(), settings.connectTimeoutUs());
        this.staleness = new StalenessMonitor(STALE_AFTER_US, clock.micros());
    }

    /** Connects, and from then on replaces each connection that ends. */
    public void start() {
        checkStaleness();
        connect();
    }

    /** Moves to another address and resumes there after the last event that was applied. */
    public void reconnectTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff.reset();
        if (connection != null && connection.isOpen()) {
            connection.close();
        } else {
            deadlines.cancel(reconnect);
            connect();
        }
    }

    /** Whether the channel has answered at least once. */
    public boolean hasAnswered() {
        return lastAnswerUs != DiscoveryEvents.NEVER_ANSWERED_US;
    }

    private void checkStaleness() {
        if (staleness.becameStale(clock.micros())) {
            LOG.log(Level.WARNING, "discovery is stale: no answer from {0} for {1} ms; drains, purges and changes of"
                    + " the endpoint list may be missed", address, Long.toString(STALE_AFTER_US / 1000));
        }
        deadlines.add(staleness.nextCheckUs(clock.micros()), this::checkStaleness);
    }

    private void connect() {
        parser = new HttpResponseParser(this::response);
        try {
            connection = loop.connect(address, connected -> this);
            timeout = deadlines.add(clock.micros() + backoff.connectTimeoutUs(), connection::close);
        } catch (IOException failure) {
            closed(failure);
        }
    }

    @Override
    public void connected() {
        poll();
    }

    private void poll() {
        deadlines.cancel(timeout);
        timeout = deadlines.add(clock.micros() + LONG_POLL_MS * 1000 + ANSWER_GRACE_US, connection::close);
        String host = address.getHostString() + ":" + address.getPort();
        connection.send(ByteBuffer.wrap(("GET /cmd/next?resume=" + cursor + "&block=" + LONG_POLL_MS
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void received(ByteBuffer data) throws IOException {
        parser.parse(data);
    }

    private void response(int status, String body, boolean last) throws ProtocolException {
        DiscoveryEvents answer = parse(status, body);
        backoff.reset();
        long previousAnswerUs = lastAnswerUs;
        lastAnswerUs = clock.micros();
        logRecovery(staleness.answered(lastAnswerUs));
        if (answer.cursor() > cursor) {
            cursor = answer.cursor();
            answer.events().forEach(event -> deliver(event, previousAnswerUs));
        }
        if (last) {
            connection.close();
        } else {
            poll();
        }
    }

    private DiscoveryEvents parse(int status, String body) throws ProtocolException {
        if (status != 200) {
            throw new ProtocolException("status " + status);
        }
        try {
            return DiscoveryEventParser.parse(Json.parse(body), settings.zones(), settings.kinds()).after(cursor);
        } catch (Json.Malformed malformed) {
            throw new ProtocolException(malformed.getMessage());
        }
    }

    private void logRecovery(long staleUs) {
        if (staleUs > 0) {
            LOG.log(Level.INFO, "discovery has recovered: answer from {0} after {1} ms", address,
                    Long.toString(staleUs / 1000));
        }
    }

    /** An event that fails is not asked for again: it would fail again, and block the events behind it for good. */
    private void deliver(DiscoveryEvent event, long previousAnswerUs) {
        try {
            listener.accept(new DiscoveryEvents(event.cursor(), List.of(event), previousAnswerUs));
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "discovery event " + event.cursor() + " failed", fault);
        }
    }

    @Override
    public void ended() {
        try {
            parser.end();
        } catch (ProtocolException malformed) {
            logMalformed(malformed);
        }
        connection.close();
    }

    @Override
    public void closed(IOException cause) {
        deadlines.cancel(timeout);
        if (cause instanceof ProtocolException) {
            logMalformed(cause);
        }
        reconnect = deadlines.add(clock.micros() + backoff.nextDelayUs(), this::connect);
    }

    private void logMalformed(IOException cause) {
        LOG.log(Level.WARNING, "discovery answer from {0} is malformed: {1}", address, cause.getMessage());
    }
}
