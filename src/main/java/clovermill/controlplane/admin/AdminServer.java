package clovermill.controlplane.admin;

import static java.util.Map.entry;

import clovermill.controlplane.admin.decide.AdminRequest;
import clovermill.controlplane.admin.decide.AdminResponse;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Listens where operators call, reads each connection's one call and writes its answer. */
public final class AdminServer {

    private static final System.Logger LOG = System.getLogger(AdminServer.class.getName());
    /** A call takes some milliseconds; one that is not whole by then is told so and let go. */
    private static final long PATIENCE_US = 4_000_000;
    /** So many callers may be connected; for a further one the caller that has been silent longest gives way. */
    private static final int MOST_CALLERS = 16;

    /** RFC 9110, 15. */
    private static final Map<Integer, String> PHRASES = Map.ofEntries(entry(200, "OK"), entry(202, "Accepted"),
            entry(400, "Bad Request"), entry(404, "Not Found"), entry(405, "Method Not Allowed"),
            entry(408, "Request Timeout"), entry(409, "Conflict"), entry(413, "Content Too Large"),
            entry(431, "Request Header Fields Too Large"), entry(501, "Not Implemented"),
            entry(503, "Service Unavailable"), entry(504, "Gateway Timeout"));

    private final EventLoop loop;
    private final Clock clock;
    private final Deadlines deadlines;
    private final AdminService desk;
    private final Set<Caller> callers = new LinkedHashSet<>();
    private Listener listener;

    public AdminServer(EventLoop loop, Clock clock, Deadlines deadlines, AdminService desk) {
        this.loop = loop;
        this.clock = clock;
        this.deadlines = deadlines;
        this.desk = desk;
    }

    /** Takes calls from now on, until the process ends. */
    public void open(InetSocketAddress address) throws IOException {
        listener = loop.listenWithPriority(address, MOST_CALLERS, this::makeRoom, Caller::new);
    }

    /** The port that was bound. */
    public int port() {
        return listener.port();
    }

    private void makeRoom() {
        callers.iterator().next().letGo("too many callers are connected");
    }

    /** One connection, and the one call that comes on it. */
    private final class Caller implements Connection.Handler {
        private final Connection connection;
        private final AdminRequestParser parser = new AdminRequestParser();
        private final Deadlines.Deadline patience;
        private boolean asked;
        private boolean answered;

        Caller(Connection connection) {
            this.connection = connection;
            this.patience = deadlines.add(clock.micros() + PATIENCE_US, this::overdue);
            callers.add(this);
        }

        @Override
        public void received(ByteBuffer data) {
            if (asked || answered) {
                data.position(data.limit());
                return;
            }
            try {
                AdminRequest call = parser.parse(data);
                if (call != null) {
                    asked = true;
                    desk.answer(call, reply -> {
                        LOG.log(call.method().equals("GET") ? Level.DEBUG : Level.INFO,
                                "operators call {0} {1} {2}: {3}",
                                call.method(), call.path(), call.body().replaceAll("\\p{Cntrl}", " "), reply.reason());
                        if (!answered) {
                            answer(reply);
                        }
                    });
                } else if (parser.waitsToSend()) {
                    say("HTTP/1.1 100 Continue\r\n\r\n");
                }
            } catch (AdminRequestParser.BadCall bad) {
                answer(new AdminResponse(bad.status(), bad.getMessage()));
            }
            data.position(data.limit());
        }

        private void answer(AdminResponse reply) {
            answered = true;
            String body = reply.reason() + "\n";
            say("HTTP/1.1 " + reply.status() + " " + PHRASES.getOrDefault(reply.status(), "Error")
                    + (reply.allow() == null ? "" : "\r\nAllow: " + reply.allow())
                    + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\nConnection: close\r\n\r\n" + body);
            connection.closeWhenFlushed();
        }

        private void say(String text) {
            connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }

        /** A caller that completes no call, or does not read its answer. */
        private void overdue() {
            if (answered) {
                connection.close();
            } else {
                answer(asked
                        ? new AdminResponse(504, "the voters have not answered: GET /policy tells what became of it")
                        : new AdminResponse(408, "the call was not whole in time"));
            }
        }

        /** Gives its place to a caller that has just come. */
        private void letGo(String reason) {
            callers.remove(this);
            if (answered) {
                connection.close();
            } else {
                answer(new AdminResponse(503, reason));
            }
        }

        /** A caller may close its side as soon as it has written its call, and still read. */
        @Override
        public void ended() {
            if (!asked && !answered) {
                answer(new AdminResponse(400, "the call ended early"));
            }
        }

        @Override
        public void closed(IOException cause) {
            deadlines.cancel(patience);
            callers.remove(this);
        }
    }
}
