package clovermill.controlplane.gossip;

import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.gossip.decide.GossipMember.OutgoingMessage;
import clovermill.controlplane.gossip.decide.GossipMessage;
import clovermill.controlplane.gossip.decide.LimitShare;
import clovermill.controlplane.gossip.decide.ReplicatedEntry;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.routing.api.MembersChanged;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Datagrams;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.RecurringTask;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Gossips with the other directors of the fleet: owns the UDP socket and the {@link GossipMember}, calls it once an
 * interval, and rejects requests beyond the fleet's limits. All on the loop's thread.
 */
public final class GossipService implements UsageListener {

    private static final System.Logger LOG = System.getLogger(GossipService.class.getName());
    /** Minimum time between two log lines about ignored datagrams. */
    private static final long LOG_INTERVAL_US = 10_000_000;
    private static final String CACHE_PREFIX = "cache/";
    /** Bounds on the delay after which a rejected request may be retried; it depends on this director's share. */
    private static final long MIN_RETRY_AFTER_MS = 20;
    private static final long MAX_RETRY_AFTER_MS = 1000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final GossipMember.GroupMembership membership;
    private final GossipMember member;
    private final GossipCodec codec;
    private final List<InetSocketAddress> addresses;
    private final List<GossipSettings.Limit> limits;
    private final long slackUs;
    private final UsageListener next;
    private Datagrams socket;
    private BiConsumer<String, Boolean> outageHandler = (id, disabled) -> {};
    private boolean bindFailedBefore;
    private long ignoredDatagrams;
    private long lastLoggedUs = Long.MIN_VALUE / 2;

    /**
     * Creates a service that neither sends nor receives before {@link #open}.
     *
     * @param slackUs a request has completed this long after its client's timeout, at the latest
     * @param next the next listener of the chain, which decides first about each request; null for none
     */
    public GossipService(GossipSettings settings, List<String> classes, long slackUs, Clock clock, Deadlines deadlines,
            UsageListener next) {
        settings.check(classes);
        this.clock = clock;
        this.deadlines = deadlines;
        this.next = next;
        this.membership = settings.membership();
        this.addresses = settings.addresses();
        this.codec = new GossipCodec(membership.self(), settings.key());
        this.limits = settings.limits();
        this.slackUs = slackUs;
        this.member = new GossipMember(membership, settings.shares(clock.micros()), new SecureRandom(), this::updated,
                clock.micros());
    }

    /**
     * Binds the socket and starts to gossip. While another process of this director has the socket, this one retries,
     * and admits no more than the reserved part, which the other never lends.
     *
     * @param onOutage called with the id of each cache that a peer disabled (true) or enabled (false)
     */
    public void open(EventLoop loop, BiConsumer<String, Boolean> onOutage) {
        outageHandler = onOutage;
        try {
            socket = loop.datagrams(addresses.get(membership.self()), this::receive);
            RecurringTask.start(deadlines, clock, membership.intervalUs(), this::tick);
        } catch (IOException bindFailed) {
            if (!bindFailedBefore) {
                LOG.log(Level.WARNING, "{0} is not free ({1}): this process sends its peers nothing until it is",
                        addresses.get(membership.self()), bindFailed.getMessage());
            }
            bindFailedBefore = true;
            member.restart(clock.micros());
            deadlines.add(clock.micros() + membership.intervalUs(), () -> open(loop, onOutage));
        }
    }

    /** Replicates to all directors that operators disabled or enabled a cache at this one. */
    public void replicateOutage(String id, boolean disabled) {
        String key = CACHE_PREFIX + id;
        boolean fits = key.getBytes(StandardCharsets.UTF_8).length <= GossipCodec.MAX_KEY_BYTES;
        if (fits && member.put(key, disabled)) {
            send(member.tick(clock.micros()));
        } else if (!fits || member.isSet(key) != disabled) {
            LOG.log(Level.WARNING, "the outage of cache {0} is not replicated: {1}", id,
                    fits ? "the replicated map is full" : "its id is too long");
        }
    }

    private void updated(ReplicatedEntry entry) {
        if (entry.key().startsWith(CACHE_PREFIX)) {
            String id = entry.key().substring(CACHE_PREFIX.length());
            LOG.log(Level.INFO, "director {0} {2} cache {1}", entry.origin(), id,
                    entry.value() ? "disabled" : "enabled");
            outageHandler.accept(id, entry.value());
        }
    }

    private void tick() {
        send(member.tick(clock.micros()));
    }

    private void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage each : socket == null ? List.<OutgoingMessage>of() : messages) {
            socket.send(codec.encode(each.to(), each.message()), addresses.get(each.to()));
        }
    }

    private void receive(ByteBuffer datagram) {
        long ignoredBefore = member.ignored();
        try {
            GossipMessage message = codec.decode(datagram);
            send(member.receive(message, clock.micros()));
            if (member.ignored() > ignoredBefore) {
                ignore("replayed, or sent by a non-member or an earlier incarnation");
            }
        } catch (GossipCodec.InvalidMessageException invalid) {
            ignore(invalid.getMessage());
        }
    }

    private void ignore(String reason) {
        ignoredDatagrams++;
        if (clock.micros() - lastLoggedUs >= LOG_INTERVAL_US) {
            lastLoggedUs = clock.micros();
            LOG.log(Level.WARNING, "a datagram was ignored, the last of {0} so far: {1}", ignoredDatagrams, reason);
        }
    }

    @Override
    public long retryAfterMs(ClientRequest request) {
        long retryAfterMs = next == null ? ADMITTED : next.retryAfterMs(request);
        long nowUs = clock.micros();
        for (int i = 0; retryAfterMs == ADMITTED && i < limits.size(); i++) {
            LimitShare share = member.share(i);
            if (appliesTo(limits.get(i), request) && !share.admit(nowUs, nowUs + request.remainingUs() + slackUs)) {
                release(request, i);
                withdrawFromNext(request);
                double perMs = limits.get(i).open() == null ? share.amount(nowUs) / 1000 : 1.0 / MAX_RETRY_AFTER_MS;
                return (long) Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, 1 / perMs));
            }
        }
        return retryAfterMs;
    }

    private void withdrawFromNext(ClientRequest request) {
        if (next != null) {
            next.admissionWithdrawn(request);
        }
    }

    @Override
    public void admissionWithdrawn(ClientRequest request) {
        release(request, limits.size());
        withdrawFromNext(request);
    }

    /** Releases a request from the first {@code count} limits, after it has completed or the next one rejected it. */
    private void release(ClientRequest request, int count) {
        for (int i = 0; i < count; i++) {
            if (appliesTo(limits.get(i), request)) {
                member.share(i).release();
            }
        }
    }

    private static boolean appliesTo(GossipSettings.Limit limit, ClientRequest request) {
        return (limit.requestClass() == null || limit.requestClass().equals(request.className()))
                && (limit.groups() == null || request.group() >= limit.groups().get(0)
                        && request.group() <= limit.groups().get(1))
                && (!limit.repeats() || request.repeat());
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        if (usage.admitted()) {
            release(usage.request(), limits.size());
        }
        if (next != null) {
            next.requestEnded(usage);
        }
    }

    @Override
    public void membersChanged(MembersChanged change) {
        if (next != null) {
            next.membersChanged(change);
        }
    }

    /** Closes the socket. */
    public void close() {
        if (socket != null) {
            socket.close();
        }
    }
}
