package clovermill.controlplane.discovery;

import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.routing.api.Availability;
import clovermill.routing.api.DisabledMembersChanged;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.runtime.net.Clock;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The registry of the currently listed endpoints. Applies discovery events and operators' outages to the routing module
 * and the connection pool, and withdraws queued requests that must no longer reach an endpoint.
 */
public final class EndpointRegistry {

    private static final Logger LOG = System.getLogger(EndpointRegistry.class.getName());
    /** The maximum number of ids that are remembered of caches that the list has dropped. */
    private static final int MAX_DROPPED_CACHES = 1000;

    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final StartTimes startTimes;
    private final PurgeAgeEstimator purgeAges = new PurgeAgeEstimator();
    private final RecentPurges recentPurges = new RecentPurges();
    /** True after the first merge of outages: caches found enabled later were enabled just before. */
    private boolean outagesMerged;
    private final Clock clock;
    private final UpstreamPool pool;
    private final ProxyCore proxy;
    private final OutageRegistry outages;
    private final int originKind;
    /** Caches that the list has dropped, the latest ones: an operator may disable or enable one of them, too. */
    private final Map<String, Boolean> droppedCaches = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_DROPPED_CACHES;
        }
    };

    /**
     * Creates a registry without endpoints.
     *
     * @param outages the caches that operators have disabled; they count as draining
     * @param originKind the kind of the origin, which is not a cache and cannot be disabled
     */
    public EndpointRegistry(Clock clock, UpstreamPool pool, ProxyCore proxy, OutageRegistry outages, int originKind) {
        this.clock = clock;
        this.pool = pool;
        this.proxy = proxy;
        this.outages = outages;
        this.originKind = originKind;
        this.startTimes = new StartTimes(clock.micros(), clock.unixMillis());
    }

    /** Returns whether a cache with this id is listed, or was until lately. */
    public boolean isKnownCache(String id) {
        ListedEndpoint endpoint = listed.get(id);
        return endpoint == null ? droppedCaches.containsKey(id) : isCache(endpoint);
    }

    private boolean isCache(ListedEndpoint endpoint) {
        return endpoint.member().kind() != originKind;
    }

    /** Returns whether operators have disabled a cache. */
    public boolean isDisabled(String id) {
        return outages.isDisabled(id);
    }

    /** Returns whether any endpoint is listed. */
    public boolean hasEndpoints() {
        return !listed.isEmpty();
    }

    /** Disables a cache: it gets no more requests and fills until it is enabled. */
    public void disable(String id) {
        if (outages.disable(id)) {
            publishOutages(id);
            withdrawFrom(Set.of(id));
        }
    }

    /**
     * Enables a cache: it has the availability given by the list, and counts as started now, since it was restarted
     * during the outage.
     *
     * @param timestampUnixMs identifies this call among those for the cache; it is not used as a time
     */
    public void enable(String id, long timestampUnixMs) {
        if (outages.enable(id, timestampUnixMs, clock.micros())) {
            publishOutages(id);
        }
    }

    /**
     * Merges the outages that all processes of this director have recorded.
     *
     * @param disabledIds the caches that are disabled; all others are enabled
     * @param enabledAt the timestamp, in Unix milliseconds, of the last time that each cache was enabled
     */
    public void mergeOutages(Set<String> disabledIds, Map<String, Long> enabledAt) {
        for (String id : disabledIds) {
            disable(id);
        }
        for (String id : outages.disabledIds()) {
            if (!disabledIds.contains(id)) {
                enable(id, enabledAt.getOrDefault(id, 0L));
            }
        }
        outages.mergeEnableCalls(enabledAt, this::enabledUs);
        outagesMerged = true;
    }

    /**
     * Returns when a cache was enabled, on the monotonic clock. A timestamp found at the first merge may be old; one
     * found later was set since the previous merge.
     */
    private long enabledUs(long timestampUnixMs) {
        return outagesMerged ? clock.micros() : startTimes.beforeProcessStartUs(timestampUnixMs, clock.micros());
    }

    private void publishOutages(String changedId) {
        proxy.handle(new DisabledMembersChanged(List.copyOf(outages.disabledIds())));
        ListedEndpoint endpoint = listed.get(changedId);
        if (endpoint != null) {
            proxy.handle(new MembersChanged(ListScope.CHANGES, List.of(member(endpoint))));
        }
    }

    /** Applies the events of the configuration at the start: one list with all endpoints, then the purges. */
    public void applyInitial(DiscoveryEvents known) {
        known.events().forEach(this::observeTimestamps);
        for (DiscoveryEvent event : known.events()) {
            if (event instanceof EndpointListChanged list) {
                updateList(list, true).forEach(this::forgetUnlisted);
            } else if (event instanceof UnusableEvent unusable) {
                logUnusable(unusable);
            }
        }
        proxy.handle(new MembersChanged(ListScope.LAST_KNOWN, listed.values().stream().map(this::member).toList()));
        List<CopiesPurged> purges = known.events().stream().filter(CopiesPurged.class::isInstance)
                .map(CopiesPurged.class::cast).toList();
        long[] agesUs = PurgeAgeEstimator.initialAgesUs(
                purges.stream().map(CopiesPurged::timestampUnixMs).toList());
        for (int i = 0; i < agesUs.length; i++) {
            purge(purges.get(i), agesUs[i]);
        }
    }

    private void observeTimestamps(DiscoveryEvent event) {
        if (event instanceof EndpointListChanged list) {
            list.endpoints().forEach(endpoint -> startTimes.observeTimestamp(endpoint.startedUnixMs(),
                    clock.micros()));
        } else if (event instanceof CopiesPurged purge) {
            startTimes.observeTimestamp(purge.timestampUnixMs(), clock.micros());
        }
    }

    /** Applies the events of a poll in order; changes of the list that follow each other are applied as one. */
    public void apply(DiscoveryEvents polled) {
        boolean first = polled.previousAnswerUs() == DiscoveryEvents.NEVER_ANSWERED_US;
        if (first) {
            polled.events().forEach(this::observeTimestamps);
        }
        for (DiscoveryEvent event : EndpointListChanged.mergeChanges(polled.events())) {
            if (event instanceof EndpointListChanged list) {
                applyList(list, first);
            } else if (event instanceof CopiesPurged purge) {
                purge(purge,
                        purgeAges.ageUs(purge.timestampUnixMs(), clock.micros(), polled.previousAnswerUs()));
            } else if (event instanceof UnusableEvent unusable) {
                logUnusable(unusable);
            }
        }
    }

    /**
     * Returns what this process knows from discovery.
     *
     * @param cursor the number of the last event that was applied
     * @param confirmedUs when discovery confirmed that there were no later events, on the monotonic clock
     */
    public DiscoverySnapshot snapshot(long cursor, long confirmedUs) {
        return new DiscoverySnapshot(cursor, clock.micros() - confirmedUs, List.copyOf(listed.values()),
                recentPurges.aged(clock.micros()));
    }

    /** Applies what another process of this director knows, in place of the list known so far. */
    public void adopt(DiscoverySnapshot snapshot) {
        applyList(new EndpointListChanged(snapshot.cursor(), true, snapshot.endpoints()), true);
        snapshot.purges().forEach(each -> purge(each.purge(), each.ageUs()));
    }

    private static void logUnusable(UnusableEvent unusable) {
        LOG.log(Level.WARNING, "discovery event {0} is unusable: {1}", Long.toString(unusable.cursor()),
                unusable.reason());
    }

    private void applyList(EndpointListChanged list, boolean first) {
        Set<String> unavailable = updateList(list, first);
        proxy.handle(new MembersChanged(list.full() ? ListScope.FULL : ListScope.CHANGES,
                list.endpoints().stream().map(this::member).toList()));
        withdrawFrom(unavailable);
    }

    /**
     * Updates the list of endpoints.
     *
     * @param first true if endpoints may have started before this process
     * @return the ids of endpoints that must get no more requests
     */
    private Set<String> updateList(EndpointListChanged list, boolean first) {
        Map<String, ListedEndpoint> previous = list.full() ? Map.copyOf(listed) : Map.of();
        Set<String> unavailable = new HashSet<>(previous.keySet());
        if (list.full()) {
            listed.clear();
        }
        for (ListedEndpoint endpoint : list.endpoints()) {
            if (first) {
                startTimes.initialStartedUs(endpoint.id(), endpoint.startedUnixMs(), clock.micros());
            }
            if (isAvailable(endpoint)) {
                unavailable.remove(endpoint.id());
            } else {
                unavailable.add(endpoint.id());
            }
            updateEndpoint(endpoint);
        }
        previous.values().stream().filter(endpoint -> !listed.containsKey(endpoint.id())).forEach(this::recordDropped);
        return unavailable;
    }

    private boolean isAvailable(ListedEndpoint endpoint) {
        return endpoint.member().availability() == Availability.HEALTHY && !outages.isDisabled(endpoint.id());
    }

    private void updateEndpoint(ListedEndpoint endpoint) {
        if (endpoint.member().availability() == Availability.REMOVED) {
            listed.remove(endpoint.id());
            recordDropped(endpoint);
        } else {
            droppedCaches.remove(endpoint.id());
            listed.put(endpoint.id(), endpoint);
            pool.updateMember(endpoint.id(), endpoint.address(), endpoint.startedUnixMs());
        }
    }

    private void recordDropped(ListedEndpoint endpoint) {
        if (isCache(endpoint)) {
            droppedCaches.put(endpoint.id(), true);
        }
    }

    /**
     * Withdraws requests that are queued for unavailable endpoints, or for fills from them. The routing module must
     * already have the new list, as it reroutes these requests.
     */
    private void withdrawFrom(Set<String> unavailable) {
        if (!unavailable.isEmpty()) {
            pool.withdraw(unavailable);
        }
        unavailable.forEach(this::forgetUnlisted);
    }

    private void forgetUnlisted(String id) {
        if (!listed.containsKey(id)) {
            pool.removeMember(id);
            startTimes.drop(id);
        }
    }

    /** Returns the endpoint with its start time on the monotonic clock in microseconds, 0 for long ago. */
    private Member member(ListedEndpoint endpoint) {
        Member member = endpoint.member();
        long startedUs = outages.startedUs(member.id(),
                startTimes.startedUs(member.id(), endpoint.startedUnixMs(), clock.micros()));
        return new Member(member.id(), member.zone(), member.kind(), member.cell(), member.availability(),
                member.weight(), startedUs);
    }

    /** Applies a purge and withdraws queued requests for purged objects, which might be answered with an older copy. */
    private void purge(CopiesPurged purge, long ageUs) {
        recentPurges.add(purge, clock.micros() - ageUs);
        proxy.handle(new Purge(purge.object(), purge.group(), ageUs));
        pool.withdraw(ask -> purge.object() == null ? ask.group() == purge.group()
                : Long.parseUnsignedLong(ask.object(), 16) == purge.object());
    }
}
