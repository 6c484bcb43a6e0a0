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

/**
 * Has a module that serves nobody decide on made-up requests before the first client comes, so that the code
 * of the decisions is compiled by then. Nothing leaves it, and its memory is dropped.
 */
final class Warmup {

    /** The JVM's first compiler takes on a method after some 200 calls. */
    private static final int REQUESTS = 300;
    private static final long STEP_US = 10_000;

    private Warmup() {}

    /** Returns how many requests were sent to a member. */
    static int play(Settings settings, DiscoveryEvents known) {
        RequestRouter module = new RequestRouter(settings, 0);
        List<Member> members = new ArrayList<>();
        for (DiscoveryEvent event : known.events()) {
            if (event instanceof EndpointListChanged list) {
                list.endpoints().forEach(endpoint -> members.add(endpoint.member()));
            }
        }
        int sent = 0;
        List<Action> actions = new ArrayList<>();
        module.handle(1, new Members(ListScope.FULL, members), actions::add);
        for (int i = 1; i <= REQUESTS; i++) {
            long now = i * STEP_US;
            String id = Integer.toHexString(i);
            module.handle(now, new Request(id, i % settings.classes().size(), 0, i % 50, 0, 0, 100, STEP_US * 100,
                    false), actions::add);
            for (Action action : List.copyOf(actions)) {
                String member = action instanceof SendVia via ? via.member()
                        : action instanceof Send plain ? plain.member() : null;
                if (member != null) {
                    sent++;
                    module.handle(now + STEP_US / 2, new Outcome(id, 0, member, Result.OK, STEP_US / 2, true,
                            i % 2 == 0 ? Note.HIT : Note.FILLED, 0, null), actions::add);
                }
            }
            actions.clear();
        }
        return sent;
    }
}
