package clovermill.controlplane.discovery;

import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Operated;
import clovermill.routing.api.Purge;
import clovermill.runtime.net.Clock;
import java.lang.System.Logger.Level;
import java.lang.System.Logger;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that are listed now. Applies discovery events and operators' outages to the routing module and to the
 * pool of connections, and withdraws queued requests that must not reach an endpoint any more.
 */
public final class EndpointRegistry {

    private static final Logger LOG = System.getLogger(EndpointRegistry.class.getName());
    /** Cache ids that are remembered after the list has dropped them. */
    private static final int MAX_KNOWN_CACHES = 1000;

    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final StartTimes startTimes;
    private final PurgeAgeEstimator purgeAges = new PurgeAgeEstimator();
    /** Whether outages were merged before: returns that are first seen later have just happened. */
    private boolean outagesMerged;
    private final Clock clock;
    private final UpstreamPool pool;
    private final ProxyCore proxy;
    private final OutageRegistry outages;
    private final int originKind;
    /** Caches that were ever listed: an operator may take out or put back one that the list does not name just now. */
    private final Map<String, Boolean> knownCaches = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_KNOWN_CACHES;
        }
    };

    /**
     * A registry without endpoints.
     *
     * @param outages which caches operators have taken out; they count as draining
     * @param originKind the kind of the origin, which is no cache and cannot be taken out
     */
    public EndpointRegistry(Clock clock, UpstreamPool pool, ProxyCore proxy, OutageRegistry outages, int originKind) {
        this.clock = clock;
        this.pool = pool;
        this.proxy = proxy;
        this.outages = outages;
        this.originKind = originKind;
        this.startTimes = new StartTimes(clock.micros(), clock.unixMillis());
    }

    /** Whether a cache of that id was ever listed. */
    public boolean isKnownCache(String id) {
        return knownCaches.containsKey(id);
    }

    /** Whether operators have taken a cache out. */
    public boolean isOut(String id) {
        return outages.isOut(id);
    }

    /** Whether any endpoint is listed. */
    public boolean hasEndpoints() {
        return !listed.isEmpty();
    }

    /** Sends nothing more to a cache, and fills nothing from it, until it is put back. */
    public void takeOut(String id) {
        if (outages.takeOut(id)) {
            publishOutages(id);
            withdrawFrom(Set.of(id));
        }
    }

    /**
     * Ends an outage: the cache has the availability that the list gives it, and counts as started now, since it was
     * restarted during the outage.
     *
     * @param stampUnixMs identifies this return among those of the cache; it is not used as a time
     */
    public void putBack(String id, long stampUnixMs) {
        if (outages.putBack(id, stampUnixMs, clock.micros())) {
            publishOutages(id);
        }
    }

    /**
     * Merges the outages and returns that all processes of this director have recorded.
     *
     * @param out the caches that are out; all others are put back
     * @param back the stamp of the last return of each cache, in Unix milliseconds
     */
    public void mergeOutages(Set<String> out, Map<String, Long> back) {
        for (String id : out) {
            takeOut(id);
        }
        for (String id : outages.allOut()) {
            if (!out.contains(id)) {
                putBack(id, back.getOrDefault(id, 0L));
            }
        }
        back.forEach((id, stamp) -> outages.mergeReturn(id, stamp, returnedUs(stamp)));
        outagesMerged = true;
    }

    /** A return found at the first merge may be long ago; one found later was made since the merge before. */
    private long returnedUs(long stampUnixMs) {
        return outagesMerged ? clock.micros() : startTimes.beforeProcessStartUs(stampUnixMs, clock.micros());
    }

    private void publishOutages(String changedId) {
        proxy.handle(new Operated(List.copyOf(outages.allOut())));
        ListedEndpoint endpoint = listed.get(changedId);
        if (endpoint != null) {
            proxy.handle(new Members(ListScope.CHANGES, List.of(member(endpoint))));
        }
    }

    /** Applies the configuration's events at the start: one list with all endpoints, and then the purges. */
    public void applyInitial(DiscoveryEvents known) {
        known.events().forEach(this::observeStamps);
        for (DiscoveryEvent event : known.events()) {
            if (event instanceof EndpointListChanged list) {
                updateList(list, true);
            } else if (event instanceof UnusableEvent unusable) {
                logUnusable(unusable);
            }
        }
        proxy.handle(new Members(ListScope.REMEMBERED, listed.values().stream().map(this::member).toList()));
        List<CopiesPurged> purges = known.events().stream().filter(CopiesPurged.class::isInstance)
                .map(CopiesPurged.class::cast).toList();
        long[] agesUs = PurgeAgeEstimator.initialAgesUs(
                purges.stream().map(CopiesPurged::stampUnixMs).toList());
        for (int i = 0; i < agesUs.length; i++) {
            purge(purges.get(i), agesUs[i]);
        }
    }

    private void observeStamps(DiscoveryEvent event) {
        if (event instanceof EndpointListChanged list) {
            list.endpoints().forEach(endpoint -> startTimes.observeStamp(endpoint.startedUnixMs(),
                    clock.micros()));
        } else if (event instanceof CopiesPurged purge) {
            startTimes.observeStamp(purge.stampUnixMs(), clock.micros());
        }
    }

    /** Applies the events of a poll in their order. */
    public void apply(DiscoveryEvents polled) {
        boolean first = polled.previousAnswerUs() == DiscoveryEvents.NEVER_ANSWERED_US;
        if (first) {
            polled.events().forEach(this::observeStamps);
        }
        for (DiscoveryEvent event : polled.events()) {
            if (event instanceof EndpointListChanged list) {
                applyList(list, first);
            } else if (event instanceof CopiesPurged purge) {
                purge(purge,
                        purgeAges.ageUs(purge.stampUnixMs(), clock.micros(), polled.previousAnswerUs()));
            } else if (event instanceof UnusableEvent unusable) {
                logUnusable(unusable);
            }
        }
    }

    private static void logUnusable(UnusableEvent unusable) {
        LOG.log(Level.WARNING, "discovery event {0} is unusable: {1}", Long.toString(unusable.cursor()),
                unusable.reason());
    }

    private void applyList(EndpointListChanged list, boolean first) {
        Set<String> unavailable = updateList(list, first);
        proxy.handle(new Members(list.full() ? ListScope.FULL : ListScope.CHANGES,
                list.endpoints().stream().map(this::member).toList()));
        withdrawFrom(unavailable);
    }

    /**
     * Updates the list.
     *
     * @param first whether endpoints may have started before this process
     * @return the ids of endpoints that must get no more requests
     */
    private Set<String> updateList(EndpointListChanged list, boolean first) {
        Set<String> unavailable = new HashSet<>();
        if (list.full()) {
            unavailable.addAll(listed.keySet());
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
        return unavailable;
    }

    private boolean isAvailable(ListedEndpoint endpoint) {
        return endpoint.member().availability() == Availability.HEALTHY && !outages.isOut(endpoint.id());
    }

    private void updateEndpoint(ListedEndpoint endpoint) {
        if (endpoint.member().kind() != originKind) {
            knownCaches.put(endpoint.id(), true);
        }
        if (endpoint.member().availability() == Availability.GONE) {
            listed.remove(endpoint.id());
        } else {
            listed.put(endpoint.id(), endpoint);
            pool.updateMember(endpoint.id(), endpoint.address(), endpoint.startedUnixMs());
        }
    }

    /**
     * Withdraws requests that are queued for endpoints that drain or are gone, or for fills from them. The module has
     * to have the new list by then: it sends these requests elsewhere.
     */
    private void withdrawFrom(Set<String> unavailable) {
        if (!unavailable.isEmpty()) {
            pool.withdraw(unavailable);
        }
        for (String id : unavailable) {
            if (!listed.containsKey(id)) {
                pool.removeMember(id);
            }
        }
    }

    /** The endpoint with its start on the monotonic clock in microseconds, 0 for long ago. */
    private Member member(ListedEndpoint endpoint) {
        Member member = endpoint.member();
        long startedUs = outages.startedUs(member.id(),
                startTimes.startedUs(member.id(), endpoint.startedUnixMs(), clock.micros()));
        return new Member(member.id(), member.zone(), member.kind(), member.cell(), member.availability(),
                member.weight(), startedUs);
    }

    /** Purges, and withdraws queued requests for what is purged: they might be answered with an older copy. */
    private void purge(CopiesPurged purge, long ageUs) {
        proxy.handle(new Purge(purge.object(), purge.group(), ageUs));
        pool.withdraw(ask -> purge.object() == null ? ask.group() == purge.group()
                : Long.parseUnsignedLong(ask.object(), 16) == purge.object());
    }
}
