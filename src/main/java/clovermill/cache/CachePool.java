package clovermill.cache;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.host.Ask;
import clovermill.host.Upstream;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines.Deadline;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import clovermill.net.SocketErrors;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** The connections to all members, known by their ids, and the requests in the lines protocol. */
public final class CachePool implements Upstream {

    /** What bounds the pool. */
    public record Limits(int streamsPerConnection, int connections, long dialUs, long idleUs) {}

    /** So many requests share a connection before a further one is dialled. */
    private static final int SHARED = 2;
    /** A single member gets this part of all connections at most. */
    private static final int MEMBER_PART = 8;

    /** Dials an address, as {@link EventLoop#connect}. */
    interface Dialer {
        Connection connect(InetSocketAddress address, Function<Connection, Connection.Handler> handlers)
                throws IOException;
    }

    private static final Exchange NONE = () -> false;

    private final Dialer dialer;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Budget budget;
    private final Limits limits;
    private final Map<String, Peer> peers = new HashMap<>();
    /** Each holds a request, so there are no more than requests in progress. */
    private final Set<DelayedDial> delayed = new LinkedHashSet<>();
    private int bound;
    private int dialled;
    private long probes;

    public CachePool(EventLoop loop, Clock clock, Deadlines deadlines, Budget budget, Limits limits) {
        this(loop::connect, clock, deadlines, budget, limits);
    }

    CachePool(Dialer dialer, Clock clock, Deadlines deadlines, Budget budget, Limits limits) {
        this.dialer = dialer;
        this.clock = clock;
        this.deadlines = deadlines;
        this.budget = budget;
        this.limits = limits;
        this.bound = limits.connections();
    }

    /** Has so many connections be open from now on; idle ones beyond that are closed. */
    public void limit(int connections) {
        bound = connections;
        for (Peer peer : List.copyOf(peers.values())) {
            for (CacheConnection connection : List.copyOf(peer.connections)) {
                if (dialled > bound) {
                    connection.closeIfIdle();
                }
            }
        }
    }

    /** A member's address, and the connections to it. */
    private static final class Peer {
        final InetSocketAddress address;
        final long startedMs;
        final List<CacheConnection> connections = new ArrayList<>();

        Peer(InetSocketAddress address, long startedMs) {
            this.address = address;
            this.startedMs = startedMs;
        }
    }

    /**
     * Takes over where a member listens. One that has moved or started anew gets new connections: the old
     * ones may lead to whoever held the address before, or nowhere at all.
     */
    public void listed(String member, InetSocketAddress address, long startedMs) {
        Peer known = peers.get(member);
        if (known == null || !known.address.equals(address) || known.startedMs != startedMs) {
            gone(member);
            peers.put(member, new Peer(address, startedMs));
        }
    }

    /** Forgets a member: open requests may still be answered. */
    public void gone(String member) {
        Peer peer = peers.remove(member);
        if (peer != null) {
            for (CacheConnection connection : List.copyOf(peer.connections)) {
                connection.withdraw(each -> true, Result.UNCONNECTED);
                connection.retire();
            }
        }
    }

    /**
     * Withdraws all that is queued for these members, or to be filled from them, before any of it is sent. What is to
     * be filled from them speaks against nobody.
     */
    public void withdraw(Set<String> members) {
        for (Map.Entry<String, Peer> peer : List.copyOf(peers.entrySet())) {
            boolean itself = members.contains(peer.getKey());
            withdraw(peer.getValue(), each -> itself || each.isFilledFrom(members),
                    itself ? Result.UNCONNECTED : Result.NOT_SENT);
        }
        withdrawDelayed(each -> members.contains(each.member()) || each.isFilledFrom(members));
    }

    /** Withdraws what is queued for these objects: it would take a copy from before their purge. */
    public void withdraw(Predicate<Ask> purged) {
        for (Peer peer : List.copyOf(peers.values())) {
            withdraw(peer, each -> each.isFor(purged), Result.NOT_SENT);
        }
        withdrawDelayed(each -> each.isFor(purged));
    }

    private void withdrawDelayed(Predicate<CacheRequest> which) {
        List.copyOf(delayed).stream().filter(each -> which.test(each.request()))
                .forEach(each -> each.end(Result.NOT_SENT));
    }

    private static void withdraw(Peer peer, Predicate<CacheExchange> which, Result result) {
        for (CacheConnection connection : List.copyOf(peer.connections)) {
            connection.withdraw(which, result);
        }
    }

    @Override
    public Exchange send(Order order, Ending ending) {
        Ask ask = order.ask();
        long dueUs = clock.micros() + order.timeoutUs();
        return send(new CacheRequest(order.member(), ask.id(), ask, order.source(), dueUs,
                leftUs -> RequestLine.want(order, leftUs), ending));
    }

    @Override
    public void probe(String member, Ending ending) {
        String tag = "p" + probes++;
        Deadline[] timeout = new Deadline[1];
        Ending probed = (result, note, waited, answer) -> {
            deadlines.cancel(timeout[0]);
            if (answer != null) {
                answer.body().close();
            }
            ending.ended(result, note, waited, null);
        };
        Exchange exchange = send(new CacheRequest(member, tag, null, null, Long.MAX_VALUE,
                leftUs -> RequestLine.there(tag), probed));
        timeout[0] = deadlines.add(clock.micros() + limits.dialUs(), () -> {
            if (exchange != NONE) {
                exchange.giveUp();
                ending.ended(Result.TIMED_OUT, Note.NONE, 0, null);
            }
        });
    }

    @Override
    public void closeIdle(String member) {
        Peer peer = peers.get(member);
        if (peer != null) {
            List.copyOf(peer.connections).forEach(CacheConnection::closeIfIdle);
        }
    }

    private Exchange send(CacheRequest request) {
        Exchange exchange = trySend(request);
        if (exchange != null) {
            return exchange;
        }
        return new DelayedDial(this, request, clock.micros() + limits.dialUs() - DelayedDial.PAUSE_US);
    }

    /** Sends a request, or ends it; null where this machine could not dial for the moment, which is no end. */
    Exchange trySend(CacheRequest request) {
        Peer peer = peers.get(request.member());
        CacheConnection connection;
        try {
            connection = peer == null ? null : connectionFor(peer, request.id());
        } catch (IOException failure) {
            if (!SocketErrors.isOfPeer(failure)) {
                return null;
            }
            request.ending().ended(Result.UNCONNECTED, Note.NONE, 0, null);
            return NONE;
        }
        if (connection == null) {
            // No such member any more, or a limit on this side: that speaks against no member.
            request.ending().ended(Result.NOT_SENT, Note.NONE, 0, null);
            return NONE;
        }
        return connection.send(request);
    }

    /** It waits for a further dial, during which it may be withdrawn. */
    void delays(DelayedDial waiting) {
        delayed.add(waiting);
    }

    /** It waits for no further dial. */
    void dialled(DelayedDial waiting) {
        delayed.remove(waiting);
    }

    /**
     * The connection with the fewest requests, or null where none is to be had. While those are more than a
     * few, a further connection comes up beside it: one answer that is spoilt costs all that share its
     * connection. Nothing waits for a dial if there is a connection already.
     */
    private CacheConnection connectionFor(Peer peer, String id) throws IOException {
        CacheConnection best = null;
        int inUse = 0;
        boolean dialling = false;
        for (CacheConnection connection : peer.connections) {
            if (!connection.isRetired()) {
                inUse++;
                dialling |= !connection.isConnected();
                if (connection.takes(id, limits.streamsPerConnection()) && (best == null
                        || connection.isConnected() && !best.isConnected()
                        || connection.isConnected() == best.isConnected()
                                && connection.openExchanges() < best.openExchanges())) {
                    best = connection;
                }
            }
        }
        boolean few = best != null && (dialling || best.openExchanges() < SHARED);
        int most = Math.max(2, bound / MEMBER_PART);
        if (few || inUse >= most || dialled >= bound) {
            return best;
        }
        try {
            dial(peer);
        } catch (IOException failure) {
            if (best == null) {
                throw failure;
            }
            return best;
        }
        return best != null ? best : peer.connections.get(peer.connections.size() - 1);
    }

    private void dial(Peer peer) throws IOException {
        dialer.connect(peer.address, connection -> {
            CacheConnection added = new CacheConnection(this, connection, budget);
            peer.connections.add(added);
            return added;
        });
        dialled++;
    }

    void closed(CacheConnection connection) {
        dialled--;
        peers.values().forEach(peer -> peer.connections.remove(connection));
    }

    Deadline dialDeadline(Runnable expired) {
        return deadlines.add(clock.micros() + limits.dialUs(), expired);
    }

    Deadline idleDeadline(Runnable expired) {
        return deadlines.add(clock.micros() + limits.idleUs(), expired);
    }

    Deadline deadline(long delayUs, Runnable expired) {
        return deadlines.add(clock.micros() + delayUs, expired);
    }

    long now() {
        return clock.micros();
    }

    /** Whether so much time has passed as a live member takes at most to let itself be heard. */
    boolean dialTimeHasPassed(long sinceUs) {
        return clock.micros() - sinceUs >= limits.dialUs();
    }

    void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }
}
