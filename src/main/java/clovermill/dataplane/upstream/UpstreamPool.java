package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.Upstream;
import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines.Deadline;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.SocketErrors;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** Sends attempts and probes to the members, over a bounded number of connections in the lines protocol. */
public final class UpstreamPool implements Upstream {

    /**
     * The bounds of a pool.
     *
     * @param streamsPerConnection open exchanges on one connection
     * @param connections open connections to all members
     * @param dialUs time in which a connection must be established, in microseconds
     * @param idleUs time after which a connection without exchanges is closed, in microseconds
     */
    public record Limits(int streamsPerConnection, int connections, long dialUs, long idleUs) {}

    /** One member gets this part of all connections at most, and two in any case. */
    private static final int MEMBER_PART_OF_CONNECTIONS = 8;
    private static final int MIN_CONNECTIONS_PER_MEMBER = 2;

    /** Dials an address, as {@link EventLoop#connect}. */
    interface Dialer {
        Connection connect(InetSocketAddress address, Function<Connection, Connection.Handler> handlers)
                throws IOException;
    }

    /** An exchange that had ended when it was returned. */
    private static final Exchange ENDED = () -> false;

    private final Dialer dialer;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Budget budget;
    private final Limits limits;
    private final Map<String, MemberConnections> members = new HashMap<>();
    /** Requests that wait for a dial, each of an attempt or probe in progress. */
    private final Set<DelayedDial> delayedDials = new LinkedHashSet<>();
    private int maxConnections;
    private int openConnections;
    private long probeCount;

    /** A pool without members, which dials on {@code loop}. */
    public UpstreamPool(EventLoop loop, Clock clock, Deadlines deadlines, Budget budget, Limits limits) {
        this(loop::connect, clock, deadlines, budget, limits);
    }

    UpstreamPool(Dialer dialer, Clock clock, Deadlines deadlines, Budget budget, Limits limits) {
        this.dialer = dialer;
        this.clock = clock;
        this.deadlines = deadlines;
        this.budget = budget;
        this.limits = limits;
        this.maxConnections = limits.connections();
    }

    /** Sets the limit of open connections; idle ones beyond it are closed. */
    public void limit(int connections) {
        maxConnections = connections;
        for (MemberConnections member : List.copyOf(members.values())) {
            for (UpstreamConnection connection : member.snapshot()) {
                if (openConnections > maxConnections) {
                    connection.closeIfIdle();
                }
            }
        }
    }

    /**
     * Adds or updates a member. One that has moved or was restarted gets new connections: the old ones may lead to
     * another member at its former address, or nowhere.
     */
    public void updateMember(String member, InetSocketAddress address, long startedMs) {
        MemberConnections known = members.get(member);
        if (known == null || !known.isOf(address, startedMs)) {
            removeMember(member);
            members.put(member, new MemberConnections(address, startedMs));
        }
    }

    /** Removes a member; exchanges that have begun may still be answered. */
    public void removeMember(String member) {
        MemberConnections removed = members.remove(member);
        if (removed != null) {
            removed.retire();
        }
    }

    /**
     * Ends everything queued for {@code drained} members, or to be filled from them, before any of it is sent. The end
     * of a request to another member does not count against that member.
     */
    public void withdraw(Set<String> drained) {
        for (Map.Entry<String, MemberConnections> member : List.copyOf(members.entrySet())) {
            boolean isDrained = drained.contains(member.getKey());
            member.getValue().withdraw(each -> isDrained || each.isFilledFrom(drained),
                    isDrained ? Result.UNCONNECTED : Result.NOT_SENT);
        }
        withdrawDelayed(each -> drained.contains(each.member()) || each.isFilledFrom(drained));
    }

    /** Ends everything queued for purged objects: it could be answered from a copy that is older than the purge. */
    public void withdraw(Predicate<ClientRequest> purged) {
        for (MemberConnections member : List.copyOf(members.values())) {
            member.withdraw(each -> each.isFor(purged), Result.NOT_SENT);
        }
        withdrawDelayed(each -> each.isFor(purged));
    }

    private void withdrawDelayed(Predicate<CacheRequest> matches) {
        List.copyOf(delayedDials).stream().filter(each -> matches.test(each.request()))
                .forEach(each -> each.end(Result.NOT_SENT));
    }

    @Override
    public Exchange send(AttemptOrder order, AttemptListener listener) {
        ClientRequest request = order.request();
        long deadlineUs = clock.micros() + order.timeoutUs();
        return send(new CacheRequest(order.member(), request.id(), request, order.source(), deadlineUs,
                leftUs -> RequestLine.want(order, leftUs), listener));
    }

    @Override
    public void probe(String member, AttemptListener listener) {
        String id = "p" + probeCount++;
        Deadline[] timeout = new Deadline[1];
        AttemptListener probeListener = (result, note, waitedUs, response) -> {
            deadlines.cancel(timeout[0]);
            if (response != null) {
                response.body().close();
            }
            listener.ended(result, note, waitedUs, null);
        };
        Exchange exchange = send(new CacheRequest(member, id, null, null, Long.MAX_VALUE,
                leftUs -> RequestLine.there(id), probeListener));
        timeout[0] = addDialTimeout(() -> {
            if (exchange != ENDED) {
                exchange.cancel();
                listener.ended(Result.TIMED_OUT, Note.NONE, 0, null);
            }
        });
    }

    @Override
    public void closeIdle(String member) {
        MemberConnections connections = members.get(member);
        if (connections != null) {
            connections.closeIdle();
        }
    }

    private Exchange send(CacheRequest request) {
        Exchange exchange = trySend(request);
        if (exchange != null) {
            return exchange;
        }
        long lastDialUs = clock.micros() + limits.dialUs() - DelayedDial.RETRY_INTERVAL_US;
        return new DelayedDial(this, request, lastDialUs);
    }

    /** Sends a request, or ends it; returns null, and does neither, if this machine cannot dial for the moment. */
    Exchange trySend(CacheRequest request) {
        MemberConnections member = members.get(request.member());
        UpstreamConnection connection;
        try {
            connection = member == null ? null : connectionFor(member, request.id());
        } catch (IOException failure) {
            if (!SocketErrors.isOfPeer(failure)) {
                return null;
            }
            request.listener().ended(Result.UNCONNECTED, Note.NONE, 0, null);
            return ENDED;
        }
        if (connection == null) { // an unknown member or a limit of this pool, which does not count against the member
            request.listener().ended(Result.NOT_SENT, Note.NONE, 0, null);
            return ENDED;
        }
        return connection.send(request);
    }

    void addDelayed(DelayedDial delayedDial) {
        delayedDials.add(delayedDial);
    }

    void removeDelayed(DelayedDial delayedDial) {
        delayedDials.remove(delayedDial);
    }

    /** The best connection for a request, dialled if necessary; null if none is available within the limits. */
    private UpstreamConnection connectionFor(MemberConnections member, String id) throws IOException {
        UpstreamConnection best = member.best(id, limits.streamsPerConnection());
        int maxOfMember = Math.max(MIN_CONNECTIONS_PER_MEMBER, maxConnections / MEMBER_PART_OF_CONNECTIONS);
        if (openConnections >= maxConnections || !member.wantsFurther(best, maxOfMember)) {
            return best;
        }
        try {
            dial(member);
        } catch (IOException failure) {
            if (best == null) {
                throw failure;
            }
            return best;
        }
        return best != null ? best : member.newest(); // no request waits for a dial if it need not
    }

    private void dial(MemberConnections member) throws IOException {
        dialer.connect(member.address(), connection -> {
            UpstreamConnection added = new UpstreamConnection(this, connection, budget);
            member.add(added);
            return added;
        });
        openConnections++;
    }

    void connectionClosed(UpstreamConnection connection) {
        openConnections--;
        members.values().forEach(member -> member.remove(connection));
    }

    Deadline addDialTimeout(Runnable expired) {
        return addTimeout(limits.dialUs(), expired);
    }

    Deadline addIdleTimeout(Runnable expired) {
        return addTimeout(limits.idleUs(), expired);
    }

    Deadline addTimeout(long delayUs, Runnable expired) {
        return deadlines.add(clock.micros() + delayUs, expired);
    }

    long nowUs() {
        return clock.micros();
    }

    /** Whether the time in which a live member would have answered a dial has passed. */
    boolean hasDialTimePassed(long sinceUs) {
        return clock.micros() - sinceUs >= limits.dialUs();
    }

    void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }
}
