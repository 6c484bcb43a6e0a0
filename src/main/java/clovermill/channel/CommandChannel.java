package clovermill.channel;

import clovermill.config.Json;
import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import clovermill.net.ProtocolException;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Polls the command channel without a gap: the next poll leaves as soon as an answer is read. A new
 * connection resumes from the last event.
 */
public final class CommandChannel implements Connection.Handler {

    /**
     * How the channel is read: the names of the settings, the time that a dial may take, and the shorter of the times
     * in which what it tells has to bind.
     */
    public record Terms(List<String> zones, List<String> kinds, long dialUs, long windowUs) {}

    private static final System.Logger LOG = System.getLogger(CommandChannel.class.getName());
    /** Short, because events count as told while the channel is cut off, and silence shows only after it. */
    private static final long BLOCK_MS = 1000;
    private static final long GRACE_US = 500_000;
    /** What the channel has to tell counts as told 2 s after the end of the wait that was asked for. */
    private static final long LONGEST_SILENCE_US = BLOCK_MS * 1000 + 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Terms terms;
    private final Consumer<Commands> news;
    private final Silence quiet;
    private InetSocketAddress address;
    private Connection connection;
    private HttpResponses responses;
    private Deadlines.Deadline silence;
    private Deadlines.Deadline redial;
    private long cursor;
    /** When the last answer was read. */
    private long answeredUs = Commands.NEVER_ANSWERED_US;
    private final Redial redials;

    public CommandChannel(EventLoop loop, Clock clock, Deadlines deadlines, InetSocketAddress address,
            Terms terms, long cursor, Consumer<Commands> news) {
        this.loop = loop;
        this.clock = clock;
        this.deadlines = deadlines;
        this.address = address;
        this.terms = terms;
        this.cursor = cursor;
        this.news = news;
        this.redials = new Redial(terms.windowUs(), terms.dialUs());
        this.quiet = new Silence(LONGEST_SILENCE_US, clock.micros());
    }

    /** Goes on at another address, from the event after the last one that was read. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        redials.reached();
        if (connection != null && connection.isOpen()) {
            connection.close();
        } else {
            deadlines.cancel(redial);
            dial();
        }
    }

    /** Whether the channel has answered at least once. */
    public boolean heard() {
        return answeredUs != Commands.NEVER_ANSWERED_US;
    }

    /** Dials, and from then on keeps the channel up. */
    public void start() {
        listen();
        dial();
    }

    private void listen() {
        if (quiet.tooLong(clock.micros())) {
            LOG.log(Level.WARNING, "the command channel at {0} has told nothing for {1} ms; purges and changes of the"
                    + " list of members may be missed", address, Long.toString(LONGEST_SILENCE_US / 1000));
        }
        deadlines.add(quiet.nextLookUs(clock.micros()), this::listen);
    }

    private void dial() {
        responses = new HttpResponses(this::response);
        try {
            connection = loop.connect(address, dialled -> this);
            silence = deadlines.add(clock.micros() + redials.dialUs(), connection::close);
        } catch (IOException failure) {
            closed(failure);
        }
    }

    @Override
    public void connected() {
        poll();
    }

    private void poll() {
        deadlines.cancel(silence);
        silence = deadlines.add(clock.micros() + BLOCK_MS * 1000 + GRACE_US, connection::close);
        String host = address.getHostString() + ":" + address.getPort();
        connection.send(ByteBuffer.wrap(("GET /cmd/next?resume=" + cursor + "&block=" + BLOCK_MS
                + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void received(ByteBuffer data) throws IOException {
        responses.parse(data);
    }

    private void response(int status, String body, boolean last) throws ProtocolException {
        if (status != 200) {
            throw new ProtocolException("status " + status);
        }
        Commands commands;
        try {
            commands = Commands.read(Json.parse(body), terms.zones(), terms.kinds()).after(cursor);
        } catch (Json.Malformed malformed) {
            throw new ProtocolException(malformed.getMessage());
        }
        redials.reached();
        long answeredBeforeUs = answeredUs;
        answeredUs = clock.micros();
        long quietUs = quiet.heard(answeredUs);
        if (quietUs > 0) {
            LOG.log(Level.INFO, "the command channel at {0} tells again, after {1} ms", address,
                    Long.toString(quietUs / 1000));
        }
        if (commands.cursor() > cursor) {
            cursor = commands.cursor();
            commands.list().forEach(event -> deliver(event, answeredBeforeUs));
        }
        if (last) {
            connection.close();
        } else {
            poll();
        }
    }

    /** An event that fails costs itself alone: asked for again it would fail again, and nothing behind it be heard. */
    private void deliver(Commands.Command event, long answeredBeforeUs) {
        try {
            news.accept(new Commands(event.cursor(), List.of(event), answeredBeforeUs));
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "event " + event.cursor() + " of the command channel has failed", fault);
        }
    }

    @Override
    public void ended() {
        try {
            responses.end();
        } catch (ProtocolException malformed) {
            LOG.log(Level.WARNING, "the command channel: {0}", malformed.getMessage());
        }
        connection.close();
    }

    @Override
    public void closed(IOException cause) {
        deadlines.cancel(silence);
        if (cause instanceof ProtocolException) {
            LOG.log(Level.WARNING, "the command channel: {0}", cause.getMessage());
        }
        redial = deadlines.add(clock.micros() + redials.waitUs(), this::dial);
    }
}
