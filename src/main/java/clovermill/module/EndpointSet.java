package clovermill.module;

import clovermill.CacheRouter;
import clovermill.module.Endpoint.Role;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The members that are listed, by role; an entry that tells of a new start clears what was known of it. */
final class EndpointSet {

    private final RoutingContext state;
    private final Map<String, Endpoint> nodes = new HashMap<>();
    final EndpointRing caches = new EndpointRing();
    final EndpointRing parents = new EndpointRing();
    /** Members that operators have taken out, by id: they may leave the list and come back meanwhile. */
    List<String> takenOut = List.of();
    Endpoint origin;

    EndpointSet(RoutingContext state) {
        this.state = state;
    }

    EndpointRing ring(Endpoint node) {
        return node.role == Role.PARENT ? parents : caches;
    }

    /** How many directors send to a member. */
    int sharers(Endpoint node) {
        return Math.max(1, node.role == Role.ORIGIN ? 1
                : node.role == Role.PARENT ? state.settings.directors() : state.settings.directorsHere());
    }

    void advance() {
        caches.advance(state.now, state.cold);
        parents.advance(state.now, state.cold);
    }

    void on(CacheRouter.Members news) {
        if (news.scope() == CacheRouter.ListScope.FULL || news.scope() == CacheRouter.ListScope.REMEMBERED) {
            nodes.values().forEach(node -> node.listed = false);
        }
        for (CacheRouter.Member member : news.members()) {
            update(nodes.computeIfAbsent(member.id(), Endpoint::new), member);
        }
        nodes.values().removeIf(node -> !node.listed && node.held.now() == 0);
        List<Endpoint> listed = nodes.values().stream().filter(node -> node.listed)
                .sorted(Comparator.comparing(node -> node.id)).toList();
        caches.list(listed.stream().filter(n -> n.role == Role.CACHE && n.zone == state.settings.zone()).toList());
        parents.list(listed.stream().filter(node -> node.role == Role.PARENT).toList());
        origin = listed.stream().filter(node -> node.role == Role.ORIGIN).findFirst().orElse(null);
    }

    private void update(Endpoint node, CacheRouter.Member member) {
        node.role = member.kind() == state.settings.originKind() ? Role.ORIGIN
                : member.kind() == state.settings.parentKind() ? Role.PARENT : Role.CACHE;
        node.zone = member.zone();
        node.cell = member.cell();
        node.weight = member.weight() > 0 ? member.weight() : 1;
        node.listed = member.availability() == CacheRouter.Availability.HEALTHY && !takenOut.contains(node.id);
        if (member.startedUs() > node.startedUs) {
            state.cold.started(node, member.startedUs());
        }
    }
}
