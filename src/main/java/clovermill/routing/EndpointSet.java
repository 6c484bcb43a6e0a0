package clovermill.routing;

import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The listed endpoints by role. Bounded by the member list. */
final class EndpointSet {

    /** Notified of the start of an endpoint, with its time in microseconds. */
    @FunctionalInterface
    interface StartListener {
        void onStart(Endpoint endpoint, long startedUs);
    }

    private final RoutingContext context;
    /** The listed endpoints, and those that have attempts in flight; in the order of their ids. */
    private final Map<String, Endpoint> byId = new TreeMap<>();
    private final EndpointRing caches = new EndpointRing();
    private final EndpointRing parents = new EndpointRing();
    private List<String> disabledIds = List.of();
    private Endpoint origin;
    private int nextNumber;

    EndpointSet(RoutingContext context) {
        this.context = context;
    }

    /** Returns the caches of this director's location. */
    EndpointRing caches() {
        return caches;
    }

    EndpointRing parents() {
        return parents;
    }

    /** Returns the origin, or null while none is listed. */
    Endpoint origin() {
        return origin;
    }

    /** Returns the ring of an endpoint's role; the origin counts as a cache. */
    EndpointRing ringOf(Endpoint endpoint) {
        return endpoint.role == Role.PARENT ? parents : caches;
    }

    /** Returns the number of directors that send to an endpoint, at least 1; always 1 for the origin. */
    int directorsSharing(Endpoint endpoint) {
        return Math.max(1, switch (endpoint.role) {
            case ORIGIN -> 1;
            case PARENT -> context.settings.directorCount();
            case CACHE -> context.settings.directorsInZone();
        });
    }

    /** Sets the ids that operators have disabled, listed or not; effective from the next member list. */
    void setDisabled(List<String> ids) {
        disabledIds = ids;
    }

    /** Applies a full member list, or changes to it. */
    void update(MembersChanged update, StartListener listener) {
        if (update.scope() == ListScope.FULL || update.scope() == ListScope.LAST_KNOWN) {
            byId.values().forEach(endpoint -> endpoint.listed = false);
        }
        boolean reweighted = false;
        for (Member member : update.members()) {
            Endpoint endpoint = byId.computeIfAbsent(member.id(), id -> new Endpoint(id, nextNumber++));
            double weight = endpoint.weight;
            update(endpoint, member, listener);
            reweighted |= endpoint.weight != weight;
        }
        byId.values().removeIf(endpoint -> !endpoint.listed && endpoint.inFlight.current() == 0);
        setRings(reweighted);
    }

    /** Sorts the listed endpoints into their rings; {@code reweighted} tells whether a weight may have changed. */
    private void setRings(boolean reweighted) {
        List<Endpoint> listedCaches = new ArrayList<>();
        List<Endpoint> listedParents = new ArrayList<>();
        origin = null;
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.listed && isLocalCache(endpoint)) {
                listedCaches.add(endpoint);
            } else if (endpoint.listed && endpoint.role == Role.PARENT) {
                listedParents.add(endpoint);
            } else if (endpoint.listed && endpoint.role == Role.ORIGIN && origin == null) {
                origin = endpoint;
            }
        }
        caches.setEndpoints(listedCaches, reweighted);
        parents.setEndpoints(listedParents, reweighted);
    }

    private boolean isLocalCache(Endpoint endpoint) {
        return endpoint.role == Role.CACHE && endpoint.zone == context.settings.zone();
    }

    private void update(Endpoint endpoint, Member member, StartListener listener) {
        endpoint.role = member.kind() == context.settings.originKind() ? Role.ORIGIN
                : member.kind() == context.settings.parentKind() ? Role.PARENT : Role.CACHE;
        endpoint.zone = member.zone();
        endpoint.cell = member.cell();
        endpoint.weight = member.weight() > 0 ? member.weight() : 1;
        endpoint.listed = member.availability() == Availability.HEALTHY && !disabledIds.contains(endpoint.id);
        if (member.startedUs() > endpoint.startedUs) {
            listener.onStart(endpoint, member.startedUs());
        }
    }
}
