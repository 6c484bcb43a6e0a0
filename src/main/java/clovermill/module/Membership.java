package clovermill.module;

import clovermill.CacheRouter;
import clovermill.module.Node.Role;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The members that are listed, by role; an entry that tells of a new start clears what was known of it. */
final class Membership {

    private final State state;
    private final Map<String, Node> nodes = new HashMap<>();
    final Ring caches = new Ring();
    final Ring parents = new Ring();
    /** Members that operators have taken out, by id: they may leave the list and come back meanwhile. */
    List<String> takenOut = List.of();
    Node origin;

    Membership(State state) {
        this.state = state;
    }

    Ring ring(Node node) {
        return node.role == Role.PARENT ? parents : caches;
    }

    /** How many directors send to a member. */
    int sharers(Node node) {
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
            update(nodes.computeIfAbsent(member.id(), Node::new), member);
        }
        nodes.values().removeIf(node -> !node.listed && node.held.now() == 0);
        List<Node> listed = nodes.values().stream().filter(node -> node.listed)
                .sorted(Comparator.comparing(node -> node.id)).toList();
        caches.list(listed.stream().filter(n -> n.role == Role.CACHE && n.zone == state.settings.zone()).toList());
        parents.list(listed.stream().filter(node -> node.role == Role.PARENT).toList());
        origin = listed.stream().filter(node -> node.role == Role.ORIGIN).findFirst().orElse(null);
    }

    private void update(Node node, CacheRouter.Member member) {
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
