package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.Upstream;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Deadlines.Deadline;
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

/** A bounded pool of connections to the members, which sends attempts and probes in the lines protocol. */
public final class UpstreamPool implements Upstream {

    /**
     * The limits and timeouts of a pool.
     *
     * @param streamsPerConnection limit of open exchanges on one connection
     * @param connections limit of open connections to all members
     * @param dialTimeoutUs time in which a connection must be established, in microseconds
     * @param idleTimeoutUs time after which a connection without exchanges is closed, in microseconds
     */
    public record Limits(int streamsPerConnection, int connections, long dialTimeoutUs, long idleTimeoutUs) {}

    /** Limits one member to this fraction (1/n) of all connections, but at least to two. */
    private static final int MEMBER_SHARE_DIVISOR = 8;
    private static final int MIN_CONNECTIONS_PER_MEMBER = 2;

    /** Dials an address, as {@link EventLoop#connect}. */
    interface Dialer {
        Connection connect(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers)
                throws IOException;
    }

    /** An exchange that ended before it was returned. */
    private static final Exchange ENDED = () -> false;

    private final Dialer dialer;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Budget budget;
    private final Limits limits;
    private final Map<String, MemberConnections> members = new HashMap<>();
    /** Those of the members that have connections, which are few where there are many members. */
    private final Map<String, MemberConnections> connectedMembers = new HashMap<>();
    /** Attempts and probes in progress that wait for a dial. */
    private final Set<DelayedDial> delayedDials = new LinkedHashSet<>();
    private int maxConnections;
    private int openConnections;
    private long probeCount;

    /** Creates a pool without members, which dials on {@code loop}. */
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

    /** Sets the limit of open connections; idle connections above it are closed. */
    public void setMaxConnections(int max) {
        maxConnections = max;
        for (MemberConnections member : List.copyOf(connectedMembers.values())) {
            for (UpstreamConnection connection : member.snapshot()) {
                if (openConnections > maxConnections) {
                    connection.closeIfIdle();
                }
            }
        }
    }

    /**
     * Adds or updates a member. One that has moved or was restarted gets new connections, since the old ones may lead
     * to another member at the former address or to none.
     */
    public void updateMember(String member, InetSocketAddress address, long startedMs) {
        MemberConnections known = members.get(member);
        if (known == null || !known.isAt(address, startedMs)) {
            removeMember(member);
            members.put(member, new MemberConnections(address, startedMs));
        }
    }

    /** Removes a member and ends its queued exchanges; those that have begun may still be answered. */
    public void removeMember(String member) {
        connectedMembers.remove(member);
        MemberConnections removed = members.remove(member);
        if (removed != null) {
            removed.retire();
        }
    }

    /**
     * Ends all queued exchanges with {@code drained} members, and those to be filled from them, before they are sent. A
     * withdrawn request to another member does not count against that member.
     */
    public void withdraw(Set<String> drained) {
        for (Map.Entry<String, MemberConnections> member : List.copyOf(connectedMembers.entrySet())) {
            boolean isDrained = drained.contains(member.getKey());
            member.getValue().withdraw(each -> isDrained || each.isFilledFrom(drained),
                    isDrained ? Result.CONNECT_FAILED : Result.NOT_SENT);
        }
        withdrawDelayed(each -> drained.contains(each.member()) || each.isFilledFrom(drained));
    }

    /** Ends all queued exchanges for purged objects, which could be answered from a copy older than the purge. */
    public void withdraw(Predicate<ClientRequest> purged) {
        for (MemberConnections member : List.copyOf(connectedMembers.values())) {
            member.withdraw(each -> each.matches(purged), Result.NOT_SENT);
        }
        withdrawDelayed(each -> each.matches(purged));
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
                remainingUs -> RequestEncoder.attempt(order, remainingUs), listener));
    }

    @Override
    public void probe(String member, AttemptListener listener) {
        String id = "p" + probeCount++;
        Deadline[] timeout = new Deadline[1];
        AttemptListener probeListener = (result, cacheStatus, waitedUs, response) -> {
            deadlines.cancel(timeout[0]);
            if (response != null) {
                response.body().close();
            }
            listener.ended(result, cacheStatus, waitedUs, null);
        };
        Exchange exchange = send(new CacheRequest(member, id, null, null, Long.MAX_VALUE,
                remainingUs -> RequestEncoder.probe(id), probeListener));
        timeout[0] = addDialTimeout(() -> {
            if (exchange != ENDED) {
                exchange.cancel();
                listener.ended(Result.TIMED_OUT, CacheStatus.NONE, 0, null);
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
        long lastDialUs = clock.micros() + limits.dialTimeoutUs() - DelayedDial.RETRY_INTERVAL_US;
        return new DelayedDial(this, request, lastDialUs);
    }

    /** Sends or ends a request; returns null without doing either if this machine cannot dial at the moment. */
    Exchange trySend(CacheRequest request) {
        MemberConnections member = members.get(request.member());
        UpstreamConnection connection;
        try {
            connection = member == null ? null : connectionFor(request.member(), member, request.id());
        } catch (IOException failure) {
            if (!SocketErrors.isOfPeer(failure)) {
                return null;
            }
            request.listener().ended(Result.CONNECT_FAILED, CacheStatus.NONE, 0, null);
            return ENDED;
        }
        if (connection == null) { // unknown member or a limit of this pool, which does not count against the member
            request.listener().ended(Result.NOT_SENT, CacheStatus.NONE, 0, null);
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

    /**
     * Returns the best connection for a request, dialling if necessary; null if none is available within the limits.
     */
    private UpstreamConnection connectionFor(String memberId, MemberConnections member, String id)
            throws IOException {
        UpstreamConnection best = member.best(id, limits.streamsPerConnection());
        int maxForMember = Math.max(MIN_CONNECTIONS_PER_MEMBER, maxConnections / MEMBER_SHARE_DIVISOR);
        if (openConnections >= maxConnections || !member.needsFurtherConnection(best, maxForMember)) {
            return best;
        }
        try {
            dial(memberId, member);
        } catch (IOException failure) {
            if (best == null) {
                throw failure;
            }
            return best;
        }
        return best != null ? best : member.newest(); // no request waits for a dial unless necessary
    }

    private void dial(String memberId, MemberConnections member) throws IOException {
        dialer.connect(member.address(), connection -> {
            UpstreamConnection added = new UpstreamConnection(this, connection, budget);
            member.add(added);
            return added;
        });
        openConnections++;
        connectedMembers.put(memberId, member);
    }

    void connectionClosed(UpstreamConnection connection) {
        openConnections--;
        connectedMembers.values().removeIf(member -> {
            member.remove(connection);
            return member.isEmpty();
        });
    }

    Deadline addDialTimeout(Runnable expired) {
        return addTimeout(limits.dialTimeoutUs(), expired);
    }

    Deadline addIdleTimeout(Runnable expired) {
        return addTimeout(limits.idleTimeoutUs(), expired);
    }

    Deadline addTimeout(long delayUs, Runnable expired) {
        return deadlines.add(clock.micros() + delayUs, expired);
    }

    long nowUs() {
        return clock.micros();
    }

    /** Returns whether the dial timeout has passed since {@code sinceUs}. A live member would have responded. */
    boolean hasDialTimeoutPassed(long sinceUs) {
        return clock.micros() - sinceUs >= limits.dialTimeoutUs();
    }

    void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }
}
