package clovermill.controlplane.admin;

import static java.util.Map.entry;

import clovermill.controlplane.admin.decide.AdminRequest;
import clovermill.controlplane.admin.decide.AdminResponse;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
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
import java.util.Optional;
import java.util.Set;

/** Accepts operators' connections, reads one request from each and writes the response. On the loop's thread. */
public final class AdminServer {

    private static final System.Logger LOG = System.getLogger(AdminServer.class.getName());
    /** Timeout from the accept to the response; an incomplete request then gets 408. */
    private static final long TIMEOUT_US = 4_000_000;
    /** Maximum number of connections; at the bound the oldest one is closed for a new one. */
    private static final int MAX_CONNECTIONS = 16;

    /** The reason phrases by status (RFC 9110, 15). */
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(entry(200, "OK"), entry(202, "Accepted"),
            entry(400, "Bad Request"), entry(404, "Not Found"), entry(405, "Method Not Allowed"),
            entry(408, "Request Timeout"), entry(409, "Conflict"), entry(413, "Content Too Large"),
            entry(431, "Request Header Fields Too Large"), entry(501, "Not Implemented"),
            entry(503, "Service Unavailable"), entry(504, "Gateway Timeout"));

    private final EventLoop loop;
    private final Clock clock;
    private final Deadlines deadlines;
    private final AdminService service;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private Listener listener;

    /** Creates a server that does not listen yet. */
    public AdminServer(EventLoop loop, Clock clock, Deadlines deadlines, AdminService service) {
        this.loop = loop;
        this.clock = clock;
        this.deadlines = deadlines;
        this.service = service;
    }

    /**
     * Listens until the process exits.
     *
     * @throws IOException if the address cannot be bound
     */
    public void open(InetSocketAddress address) throws IOException {
        listener = loop.listenWithPriority(address, MAX_CONNECTIONS, this::closeOldest, Exchange::new);
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }

    private void closeOldest() {
        exchanges.iterator().next().evict();
    }

    /** A connection with its single request. */
    private final class Exchange implements ConnectionHandler {
        private final Connection connection;
        private final AdminRequestParser parser = new AdminRequestParser();
        private final Deadlines.Deadline timeout;
        private boolean requested;
        private boolean responded;

        Exchange(Connection connection) {
            this.connection = connection;
            this.timeout = deadlines.add(clock.micros() + TIMEOUT_US, this::timedOut);
            exchanges.add(this);
        }

        @Override
        public void received(ByteBuffer data) {
            if (!requested && !responded) {
                parse(data);
            }
            data.position(data.limit());
        }

        private void parse(ByteBuffer data) {
            try {
                Optional<AdminRequest> request = parser.parse(data);
                if (request.isPresent()) {
                    requested = true;
                    service.handle(request.get(), response -> complete(request.get(), response));
                } else if (parser.takeContinueExpected()) {
                    send("HTTP/1.1 100 Continue\r\n\r\n");
                }
            } catch (AdminRequestException malformed) {
                respond(new AdminResponse(malformed.status(), malformed.getMessage()));
            }
        }

        /** Logs and sends the response; it is logged even if the request has timed out with 504. */
        private void complete(AdminRequest request, AdminResponse response) {
            LOG.log(request.method().equals("GET") ? Level.DEBUG : Level.INFO, "operators call {0} {1} {2}: {3}",
                    request.method(), request.path(), request.body().replaceAll("\\p{Cntrl}", " "), response.body());
            if (!responded) {
                respond(response);
            }
        }

        private void respond(AdminResponse response) {
            responded = true;
            String body = response.body() + "\n";
            String allow = response.allowedMethods().isPresent() ? "\r\nAllow: " + response.allowedMethods().get() : "";
            send("HTTP/1.1 " + response.status() + " " + REASON_PHRASES.getOrDefault(response.status(), "Error") + allow
                    + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\nConnection: close\r\n\r\n" + body);
            connection.closeWhenFlushed();
        }

        private void send(String text) {
            connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }

        /** Handles the timeout: the request is incomplete, its response is late, or the client does not read it. */
        private void timedOut() {
            if (responded) {
                connection.close();
            } else if (requested) {
                respond(new AdminResponse(504, "the voters have not answered: GET /policy shows the result"));
            } else {
                respond(new AdminResponse(408, "the request was not complete in time"));
            }
        }

        /** Closes this connection so that a new one can be accepted. */
        private void evict() {
            exchanges.remove(this);
            if (responded) {
                connection.close();
            } else {
                respond(new AdminResponse(503, "too many callers are connected"));
            }
        }

        /** Handles a half-close by the client, which is allowed after a complete request. */
        @Override
        public void ended() {
            if (!requested && !responded) {
                respond(new AdminResponse(400, "the request ended early"));
            }
        }

        @Override
        public void closed(IOException cause) {
            deadlines.cancel(timeout);
            exchanges.remove(this);
        }
    }
}
