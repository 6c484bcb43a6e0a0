package clovermill.controlplane.discovery;

import clovermill.config.Json;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
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
 * A client that long-polls the command channel: it sends the next poll as soon as it has read an answer. It replaces a
 * lost connection with backoff, and the first poll on a new one resumes after the last event that was applied.
 */
public final class DiscoveryClient implements ConnectionHandler {

    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    /**
     * The time for which the channel may delay an answer while it has no event. It is short because events must take
     * effect promptly after their creation, and a silent channel is detected only after this time.
     */
    private static final long LONG_POLL_MS = 1000;
    private static final long ANSWER_GRACE_US = 500_000;
    /** The protocol page requires events to be applied within 2 s after the delay that a poll allows. */
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
    private long confirmedUs = DiscoveryEvents.NEVER_ANSWERED_US;

    /**
     * Creates a client that is inactive until {@link #start()}.
     *
     * @param cursor the number of the last known event
     * @param listener receives each event separately, on the event loop
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
        this.backoff = new ReconnectBackoff(settings.effectWindowUs(), settings.connectTimeoutUs());
        this.staleness = new StalenessMonitor(STALE_AFTER_US, clock.micros());
    }

    /** Connects, and from then on replaces each closed connection. */
    public void start() {
        checkStaleness();
        connect();
    }

    /** Switches to another address and resumes there after the last event that was applied. */
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

    /** Returns the number of the last event that was applied. */
    public long cursor() {
        return cursor;
    }

    /**
     * Returns when there were no events later than {@link #cursor}, as the channel has confirmed here or to a process
     * whose events were adopted; on the monotonic clock, long ago if it is not known.
     */
    public long confirmedUs() {
        return confirmedUs;
    }

    /**
     * Resumes after events that were not received here, unless later ones are known.
     *
     * @param adoptedCursor the number of the last of these events
     * @param adoptedConfirmedUs when there were no later ones, as in {@link #confirmedUs}
     */
    public void adopt(long adoptedCursor, long adoptedConfirmedUs) {
        cursor = Math.max(cursor, adoptedCursor);
        confirmedUs = Math.max(confirmedUs, adoptedConfirmedUs);
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
        confirmedUs = lastAnswerUs;
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

    /** Delivers an event. A failed event is not requested again: it would fail again and block all later events. */
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
