package clovermill.director;

import clovermill.controlplane.discovery.DiscoveryEvent;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.discovery.EndpointListChanged;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Warms up the JIT compiler before the first client connects: a temporary router handles generated requests. Its
 * actions are not executed, and the router is discarded.
 */
final class Warmup {

    /** The JVM's C1 compiler compiles a method after about 200 calls. */
    private static final int REQUESTS = 300;
    private static final long REQUEST_INTERVAL_US = 10_000;
    private static final long RESPONSE_TIME_US = REQUEST_INTERVAL_US / 2;
    private static final long DEADLINE_US = REQUEST_INTERVAL_US * 100;
    private static final int OBJECT_GROUPS = 50;
    private static final int REQUEST_BYTES = 100;

    private final Settings settings;
    private final RequestRouter router;
    private final List<Action> actions = new ArrayList<>();
    private int sent;

    private Warmup(Settings settings) {
        this.settings = settings;
        this.router = new RequestRouter(settings, 0);
    }

    /** Routes the requests among the endpoints of {@code initialEvents}; returns the number that were sent to one. */
    static int run(Settings settings, DiscoveryEvents initialEvents) {
        Warmup warmup = new Warmup(settings);
        warmup.router.handle(1, new MembersChanged(ListScope.FULL, endpoints(initialEvents)), warmup.actions::add);
        for (int i = 1; i <= REQUESTS; i++) {
            warmup.route(i);
        }
        return warmup.sent;
    }

    private static List<Member> endpoints(DiscoveryEvents initialEvents) {
        List<Member> endpoints = new ArrayList<>();
        for (DiscoveryEvent event : initialEvents.events()) {
            if (event instanceof EndpointListChanged list) {
                list.endpoints().forEach(endpoint -> endpoints.add(endpoint.member()));
            }
        }
        return endpoints;
    }

    /** Routes one request and reports a successful outcome for each of its attempts. */
    private void route(int number) {
        long nowUs = number * REQUEST_INTERVAL_US;
        String id = Integer.toHexString(number);
        router.handle(nowUs,
                new Request(id, number % settings.classes().size(), 0, number % OBJECT_GROUPS, 0, 0, REQUEST_BYTES,
                        DEADLINE_US, false),
                actions::add);
        for (Action action : List.copyOf(actions)) {
            Optional<String> endpoint = target(action);
            if (endpoint.isPresent()) {
                sent++;
                CacheStatus cacheStatus = number % 2 == 0 ? CacheStatus.HIT : CacheStatus.FILLED;
                router.handle(nowUs + RESPONSE_TIME_US,
                        new AttemptEnded(id, 0, endpoint.get(), Result.OK, RESPONSE_TIME_US,
                                true, cacheStatus, 0, null),
                        actions::add);
            }
        }
        actions.clear();
    }

    private static Optional<String> target(Action action) {
        return action instanceof SendVia via ? Optional.of(via.member())
                : action instanceof Send send ? Optional.of(send.member()) : Optional.empty();
    }
}
