package clovermill.controlplane.gossip;

import clovermill.controlplane.gossip.decide.GossipMember.OutgoingMessage;
import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.gossip.decide.GossipMessage;
import clovermill.controlplane.gossip.decide.LimitShare;
import clovermill.controlplane.gossip.decide.ReplicatedEntry;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.routing.api.Members;
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
 * This director as a member of its fleet: owns the UDP socket and the {@link GossipMember}, calls it once an interval,
 * and refuses requests beyond the fleet's limits. All on the loop's thread.
 */
public final class GossipService implements UsageListener {

    private static final System.Logger LOG = System.getLogger(GossipService.class.getName());
    /** Ignored datagrams are logged at most this often. */
    private static final long LOG_INTERVAL_US = 10_000_000;
    private static final String CACHE_PREFIX = "cache/";
    /** Bounds on when a refused request may be retried; between them it depends on this director's share. */
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
    private BiConsumer<String, Boolean> outageHandler = (id, out) -> {};
    private boolean waitingForSocket;
    private long ignored;
    private long lastLoggedUs = Long.MIN_VALUE / 2;

    /**
     * {@code next} is asked first about each request, and sees all that end; null for none. A request has
     * ended {@code slackUs} after its client has given up, at the latest.
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
     * Binds the socket and gossips from now on; {@code onOutage} is called with each cache that a peer disabled
     * (true) or enabled again. While another process of this director has the socket, this one retries, and admits no
     * more than the reserved part that the other never lends.
     */
    public void open(EventLoop loop, BiConsumer<String, Boolean> onOutage) {
        outageHandler = onOutage;
        try {
            socket = loop.datagrams(addresses.get(membership.self()), this::receive);
            RecurringTask.start(deadlines, clock, membership.intervalUs(), this::tick);
        } catch (IOException bindFailed) {
            if (!waitingForSocket) {
                LOG.log(Level.WARNING, "{0} is not free ({1}): this process sends its peers nothing until it is",
                        addresses.get(membership.self()), bindFailed.getMessage());
            }
            waitingForSocket = true;
            member.restart(clock.micros());
            deadlines.add(clock.micros() + membership.intervalUs(), () -> open(loop, onOutage));
        }
    }

    /** Replicates to all directors that operators disabled a cache here, or enabled it again. */
    public void putOutage(String id, boolean out) {
        String key = CACHE_PREFIX + id;
        boolean fits = key.getBytes(StandardCharsets.UTF_8).length <= GossipCodec.MAX_KEY_BYTES;
        if (fits && member.put(key, out)) {
            send(member.tick(clock.micros()));
        } else if (!fits || member.isSet(key) != out) {
            LOG.log(Level.WARNING, "the outage of cache {0} is not replicated: {1}", id,
                    fits ? "the replicated map is full" : "its id is too long");
        }
    }

    private void updated(ReplicatedEntry entry) {
        if (entry.key().startsWith(CACHE_PREFIX)) {
            String id = entry.key().substring(CACHE_PREFIX.length());
            LOG.log(Level.INFO, "director {0} had cache {1} {2}", entry.origin(), id,
                    entry.value() ? "taken out" : "put back");
            outageHandler.accept(id, entry.value());
        }
    }

    private void tick() {
        send(member.tick(clock.micros()));
    }

    private void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage each : socket == null ? List.<OutgoingMessage>of() : messages) {
            socket.send(codec.write(each.to(), each.message()), addresses.get(each.to()));
        }
    }

    private void receive(ByteBuffer datagram) {
        long before = member.ignored();
        try {
            GossipMessage message = codec.read(datagram);
            send(member.receive(message, clock.micros()));
            if (member.ignored() > before) {
                ignore("of no member of the fleet, replayed or of an earlier start");
            }
        } catch (GossipCodec.InvalidMessageException bad) {
            ignore(bad.getMessage());
        }
    }

    private void ignore(String why) {
        ignored++;
        if (clock.micros() - lastLoggedUs >= LOG_INTERVAL_US) {
            lastLoggedUs = clock.micros();
            LOG.log(Level.WARNING, "a datagram was ignored, the last of {0} so far: {1}", ignored, why);
        }
    }

    @Override
    public long retryAfterMs(ClientRequest ask) {
        long first = next == null ? ADMITTED : next.retryAfterMs(ask);
        long now = clock.micros();
        for (int i = 0; first == ADMITTED && i < limits.size(); i++) {
            LimitShare share = member.share(i);
            if (appliesTo(limits.get(i), ask) && !share.admit(now, now + ask.remainingUs() + slackUs)) {
                release(ask, i);
                double perMs = limits.get(i).open() == null ? share.amount(now) / 1000 : 1.0 / MAX_RETRY_AFTER_MS;
                return (long) Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, 1 / perMs));
            }
        }
        return first;
    }

    /**
     * Releases a request from the first {@code count} limits that admitted it: it has ended, or another rejected it.
     */
    private void release(ClientRequest ask, int count) {
        for (int i = 0; i < count; i++) {
            if (appliesTo(limits.get(i), ask)) {
                member.share(i).release();
            }
        }
    }

    private static boolean appliesTo(GossipSettings.Limit limit, ClientRequest ask) {
        return (limit.requestClass() == null || limit.requestClass().equals(ask.className()))
                && (limit.groups() == null || ask.group() >= limit.groups().get(0)
                        && ask.group() <= limit.groups().get(1))
                && (!limit.repeats() || ask.repeat());
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
    public void membersChanged(Members change) {
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
