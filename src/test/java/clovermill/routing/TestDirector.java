package clovermill.routing;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.api.SlowStartRule;
import java.util.ArrayList;
import java.util.List;

/** A host for tests: a router with its own clock in front of a synthetic fleet. */
final class TestDirector {

    static final int ORIGIN = 2;
    static final int PARENT = 1;
    static final RequestClass READ = new RequestClass(400_000, 2, 6_000_000, 1, 0.15, Effect.IDEMPOTENT,
            KeyScope.ALL,
            5_000_000, false, false, true, 0, 0, 0.7);
    static final RequestClass DEDUPLICATED_WRITE = writeClass(Effect.DEDUPLICATED);
    static final RequestClass AT_MOST_ONCE_WRITE = writeClass(Effect.AT_MOST_ONCE);
    static final RequestClass READ_WITH_FRESH_TIME = new RequestClass(300_000, 2, 3_000_000, 1, 0.2, Effect.IDEMPOTENT,
            KeyScope.ALL,
            5_000_000, false, false, false, 8_000_000, 0, 0.7);
    static final SlowStartRule SLOW_START = new SlowStartRule(0.2, 14_000_000, 4, 3_000_000);
    static final SlowStartRule PARENT_SLOW_START = new SlowStartRule(0.1, 20_000_000, 2, 3_000_000);

    /** Permits only a few requests at a time. */
    static final SlowStartRule TIGHT_SLOW_START = new SlowStartRule(0.18, 17_000_000, 3, 1_000_000);
    static final SlowStartRule PARENT_TIGHT_SLOW_START = new SlowStartRule(0.08, 20_000_000, 2, 1_000_000);

    final RequestRouter router;
    long nowUs = 10_000_000_000L;
    private int requestCount;

    TestDirector(Settings settings, long seed) {
        router = new RequestRouter(settings, seed);
    }

    /** Creates a director of zone 1 that has received a list of four caches, two parents and the origin. */
    static TestDirector create() {
        TestDirector director = new TestDirector(settings(true, CacheStatusDetail.ALL), 7);
        director.handle(fullList(4));
        return director;
    }

    private static RequestClass writeClass(Effect effect) {
        return new RequestClass(600_000, 0, 3_000_000, 3, 0, effect, KeyScope.ALL, 3_000_000, false, true,
                false, 0, 0,
                0.7);
    }

    static Settings settings(boolean cacheBypass, CacheStatusDetail cacheStatusDetail) {
        return settings(cacheBypass, cacheStatusDetail, 1);
    }

    /** Returns the settings for a number of directors in zone 1. */
    static Settings settings(boolean cacheBypass, CacheStatusDetail cacheStatusDetail, int directorsInZone) {
        return settings(cacheBypass, cacheStatusDetail, directorsInZone, SLOW_START, PARENT_SLOW_START);
    }

    /** Returns the settings for members with a low load limit in slow start. */
    static Settings tightSettings(int directorsInZone) {
        return settings(true, CacheStatusDetail.ALL, directorsInZone, TIGHT_SLOW_START, PARENT_TIGHT_SLOW_START);
    }

    private static Settings settings(boolean cacheBypass, CacheStatusDetail cacheStatusDetail, int directorsInZone,
            SlowStartRule slowStart, SlowStartRule parentSlowStart) {
        HostCapabilities capabilities = new HostCapabilities(cacheBypass, true, true, true, false, false, 6, 1000, 0);
        return new Settings(0, directorsInZone + 1, 1,
                List.of(READ, DEDUPLICATED_WRITE, AT_MOST_ONCE_WRITE, READ_WITH_FRESH_TIME),
                List.of(0, directorsInZone, 1), List.of(0, 0, 0),
                PARENT,
                ORIGIN, 1000, true, SiblingScope.LOCATION, cacheStatusDetail, slowStart, parentSlowStart, 2_000_000,
                8_000,
                300_000,
                6_000_000, 400_000, false, 10_000_000, 2.5, 3_000_000, 0, capabilities);
    }

    static Member cache(int i) {
        return new Member("cache-" + i, 1, 0, 0, Availability.HEALTHY, 8, 0);
    }

    static Member parent(int i) {
        return new Member("parent-" + i, 0, PARENT, 100, Availability.HEALTHY, 20, 0);
    }

    static Member with(Member member, Availability availability, long startedUs) {
        return new Member(member.id(), member.zone(), member.kind(), member.cell(), availability,
                member.weight(),
                startedUs);
    }

    static MembersChanged fullList(int caches) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            members.add(cache(i));
        }
        members.add(parent(0));
        members.add(parent(1));
        members.add(new Member("origin", 0, ORIGIN, 200, Availability.HEALTHY, 1, 0));
        members.add(new Member("elsewhere", 2, 0, 3, Availability.HEALTHY, 8, 0));
        return new MembersChanged(ListScope.FULL, members);
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        router.handle(nowUs, event, actions::add);
        return actions;
    }

    Request request(int requestClass, long object, int part) {
        return new Request(String.format("%016x", ++requestCount), requestClass, 0, object, part,
                (int) (object % 32), 100,
                6_000_000, false);
    }

    /** Returns a request for a large part, whose duration reveals the capacity of a member. */
    Request largeRequest(long object) {
        return new Request(String.format("%016x", ++requestCount), 0, 0, object, 0, 0, 500, 6_000_000, false);
    }

    /** Requests part 0 of an object and returns the one action. */
    SendVia read(long object) {
        return (SendVia) handle(request(0, object, 0)).get(0);
    }

    List<Action> endAttempt(SendVia sent, int attempt, Result result, CacheStatus cacheStatus, long elapsedUs) {
        nowUs += elapsedUs;
        return handle(new AttemptEnded(sent.request(), attempt, sent.member(), result, elapsedUs,
                result == Result.OK, cacheStatus, 0,
                null));
    }

    /** Requests part 0 of an object and serves it in the time that corresponds to its size. */
    SendVia serve(long object, CacheStatus cacheStatus) {
        SendVia sent = read(object);
        endAttempt(sent, 0, Result.OK, cacheStatus, 110_000);
        return sent;
    }
}
