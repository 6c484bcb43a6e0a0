package clovermill.routing;

import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The listed endpoints by role. Bounded by the list of members. */
final class EndpointSet {

    /** Notified of an endpoint that has restarted, with the time of its start in microseconds. */
    @FunctionalInterface
    interface StartListener {
        void onStart(Endpoint endpoint, long startedUs);
    }

    private final RoutingContext context;
    private final Map<String, Endpoint> byId = new HashMap<>();
    private final EndpointRing caches = new EndpointRing();
    private final EndpointRing parents = new EndpointRing();
    private List<String> takenOut = List.of();
    private Endpoint origin;

    EndpointSet(RoutingContext context) {
        this.context = context;
    }

    /** The caches of this director's location. */
    EndpointRing caches() {
        return caches;
    }

    EndpointRing parents() {
        return parents;
    }

    /** The origin; null while none is listed. */
    Endpoint origin() {
        return origin;
    }

    /** The ring of an endpoint's role; the origin counts with the caches. */
    EndpointRing ringOf(Endpoint endpoint) {
        return endpoint.role == Role.PARENT ? parents : caches;
    }

    /** How many directors send to an endpoint, at least 1; the origin counts as this director's own. */
    int directorsSharing(Endpoint endpoint) {
        return Math.max(1, switch (endpoint.role) {
            case ORIGIN -> 1;
            case PARENT -> context.settings.directorCount();
            case CACHE -> context.settings.directorsInZone();
        });
    }

    /** Ids that operators have taken out, in force from the next list on; they may leave the list and come back. */
    void setTakenOut(List<String> ids) {
        takenOut = ids;
    }

    /** Applies a full list of members, or changes to it. */
    void update(MembersChanged update, StartListener listener) {
        if (update.scope() == ListScope.FULL || update.scope() == ListScope.LAST_KNOWN) {
            byId.values().forEach(endpoint -> endpoint.listed = false);
        }
        for (Member member : update.members()) {
            update(byId.computeIfAbsent(member.id(), Endpoint::new), member, listener);
        }
        byId.values().removeIf(endpoint -> !endpoint.listed && endpoint.inFlight.current() == 0);
        List<Endpoint> listed = byId.values().stream().filter(endpoint -> endpoint.listed)
                .sorted(Comparator.comparing(endpoint -> endpoint.id)).toList();
        caches.setEndpoints(listed.stream()
                .filter(endpoint -> endpoint.role == Role.CACHE && endpoint.zone == context.settings.zone()).toList());
        parents.setEndpoints(listed.stream().filter(endpoint -> endpoint.role == Role.PARENT).toList());
        origin = listed.stream().filter(endpoint -> endpoint.role == Role.ORIGIN).findFirst().orElse(null);
    }

    private void update(Endpoint endpoint, Member member, StartListener listener) {
        endpoint.role = member.kind() == context.settings.originKind() ? Role.ORIGIN
                : member.kind() == context.settings.parentKind() ? Role.PARENT : Role.CACHE;
        endpoint.zone = member.zone();
        endpoint.cell = member.cell();
        endpoint.weight = member.weight() > 0 ? member.weight() : 1;
        endpoint.listed = member.availability() == Availability.HEALTHY && !takenOut.contains(endpoint.id);
        if (member.startedUs() > endpoint.startedUs) {
            listener.onStart(endpoint, member.startedUs());
        }
    }
}
