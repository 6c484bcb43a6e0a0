package clovermill.director;

import clovermill.controlplane.discovery.DiscoveryEvent;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.discovery.EndpointListChanged;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Action;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Has the JVM compile the routing decisions before the first client connects: a router of its own decides on generated
 * requests. No action is carried out, and the router is discarded.
 */
final class Warmup {

    /** The JVM's first compiler compiles a method after some 200 calls. */
    private static final int REQUESTS = 300;
    /** Between two requests. */
    private static final long INTERVAL_US = 10_000;
    private static final long ANSWER_US = INTERVAL_US / 2;
    private static final long DEADLINE_US = INTERVAL_US * 100;
    /** Of the generated requests' object keys. */
    private static final int GROUPS = 50;
    private static final int BYTES = 100;

    private final Settings settings;
    private final RequestRouter router;
    private final List<Action> actions = new ArrayList<>();
    private int sent;

    private Warmup(Settings settings) {
        this.settings = settings;
        this.router = new RequestRouter(settings, 0);
    }

    /** Routes the requests among the endpoints of {@code startList}; returns how many were sent to one. */
    static int run(Settings settings, DiscoveryEvents startList) {
        Warmup warmup = new Warmup(settings);
        warmup.router.handle(1, new Members(ListScope.FULL, endpoints(startList)), warmup.actions::add);
        for (int i = 1; i <= REQUESTS; i++) {
            warmup.route(i);
        }
        return warmup.sent;
    }

    private static List<Member> endpoints(DiscoveryEvents startList) {
        List<Member> endpoints = new ArrayList<>();
        for (DiscoveryEvent event : startList.events()) {
            if (event instanceof EndpointListChanged list) {
                list.endpoints().forEach(endpoint -> endpoints.add(endpoint.member()));
            }
        }
        return endpoints;
    }

    /** One request, and a successful outcome for each attempt at it. */
    private void route(int number) {
        long nowUs = number * INTERVAL_US;
        String id = Integer.toHexString(number);
        router.handle(nowUs, new Request(id, number % settings.classes().size(), 0, number % GROUPS, 0, 0, BYTES,
                DEADLINE_US, false), actions::add);
        for (Action action : List.copyOf(actions)) {
            Optional<String> endpoint = target(action);
            if (endpoint.isPresent()) {
                sent++;
                Note note = number % 2 == 0 ? Note.HIT : Note.FILLED;
                router.handle(nowUs + ANSWER_US, new Outcome(id, 0, endpoint.get(), Result.OK, ANSWER_US,
                        true, note, 0, null), actions::add);
            }
        }
        actions.clear();
    }

    private static Optional<String> target(Action action) {
        return action instanceof SendVia via ? Optional.of(via.member())
                : action instanceof Send send ? Optional.of(send.member()) : Optional.empty();
    }
}
