package clovermill.prove.capacity;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A real router with the settings of the test configuration, a manual clock, and caches that always hit. */
final class RouterUnderTest {

    /** The heap that a director started by the deploy file gives to its index of parts: a quarter of 88 MiB. */
    static final long INDEX_BYTES = 22L << 20;
    private static final int LOCAL_ZONE = 1;
    private static final int PART_CLASS = 0;
    private static final int GROUPS = 256;
    private static final long GRACE_US = 6_000_000;
    private static final long ANSWER_US = 2_000;

    private final Settings settings;
    private final RequestRouter router;
    private final List<Action> actions = new ArrayList<>();
    private long nowUs = 10_000_000_000L;
    private long requests;

    /** Creates a router for caches of its location, caches of other locations, one parent and the origin. */
    RouterUnderTest(int local, int elsewhere) throws IOException, Json.Malformed {
        String text = Files.readString(Path.of("src", "test", "resources", "director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:1");
        settings = Config.read(text, null).settings();
        router = new RequestRouter(settings, 7, INDEX_BYTES);
        replaceMembers(local, elsewhere);
    }

    /** Sends the router a full list of members. */
    void replaceMembers(int local, int elsewhere) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < local + elsewhere; i++) {
            members.add(new Member("cache-" + i, i < local ? LOCAL_ZONE : 0, 0, i, Availability.HEALTHY, 6, 0));
        }
        members.add(new Member("parent-0", 0, settings.parentKind(), 0, Availability.HEALTHY, 20, 0));
        members.add(new Member("origin", 0, settings.originKind(), 0, Availability.HEALTHY, 1, 0));
        handle(new MembersChanged(ListScope.FULL, members));
    }

    /** Requests a part of an object and returns the request id; the request remains open. */
    private String request(long object) {
        String id = String.format("%016x", ++requests);
        handle(new Request(id, PART_CLASS, 0, object, 0, (int) (object % GROUPS), 100, GRACE_US, false));
        return id;
    }

    /** Requests a part, ends the attempt with a hit at the selected cache, and returns that cache. */
    String serve(long object) {
        String id = request(object);
        String cache = actions.stream().map(RouterUnderTest::target).filter(target -> target != null).findFirst()
                .orElseThrow(() -> new IllegalStateException("the router sent no attempt: " + actions));
        nowUs += ANSWER_US;
        handle(new AttemptEnded(id, 0, cache, Result.OK, ANSWER_US, true, CacheStatus.HIT, 0, null));
        return cache;
    }

    private static String target(Action action) {
        return action instanceof SendVia via ? via.member() : action instanceof Send send ? send.member() : null;
    }

    /** Sends the router a purge of an object, issued at the current time. */
    void purge(long object) {
        handle(new Purge(object, 0, 0));
    }

    void advance(long us) {
        nowUs += us;
    }

    private void handle(Event event) {
        actions.clear();
        router.handle(nowUs, event, actions::add);
    }
}
