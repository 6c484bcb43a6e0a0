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

/** A host for tests: a policy with a clock of its own in front of a made-up fleet. */
final class Director {

    static final int ORIGIN = 2;
    static final int PARENT = 1;
    static final RequestClass READ = new RequestClass(400_000, 2, 6_000_000, 1, 0.15, Effect.IDEMPOTENT,
            KeyScope.ALL,
            5_000_000, false, false, true, 0, 0, 0.7);
    static final RequestClass KEYED = write(Effect.DEDUPLICATED);
    static final RequestClass ONCE = write(Effect.AT_MOST_ONCE);
    static final RequestClass FRESH = new RequestClass(300_000, 2, 3_000_000, 1, 0.2, Effect.IDEMPOTENT,
            KeyScope.ALL,
            5_000_000, false, false, false, 8_000_000, 0, 0.7);
    static final SlowStartRule COLD = new SlowStartRule(0.2, 14_000_000, 4, 3_000_000);
    static final SlowStartRule PARENT_COLD = new SlowStartRule(0.1, 20_000_000, 2, 3_000_000);

    /** With room for few requests at a time. */
    static final SlowStartRule TIGHT = new SlowStartRule(0.18, 17_000_000, 3, 1_000_000);
    static final SlowStartRule PARENT_TIGHT = new SlowStartRule(0.08, 20_000_000, 2, 1_000_000);

    final RequestRouter policy;
    long now = 10_000_000_000L;
    private int requests;

    Director(Settings settings, long seed) {
        policy = new RequestRouter(settings, seed);
    }

    /** A director of zone 1 with four caches, two parents and the origin, already told of them. */
    static Director ready() {
        Director director = new Director(settings(true, CacheStatusDetail.ALL), 7);
        director.tell(fleet(4));
        return director;
    }

    private static RequestClass write(Effect effect) {
        return new RequestClass(600_000, 0, 3_000_000, 3, 0, effect, KeyScope.ALL, 3_000_000, false, true,
                false, 0, 0,
                0.7);
    }

    static Settings settings(boolean straight, CacheStatusDetail cacheStatusDetail) {
        return settings(straight, cacheStatusDetail, 1);
    }

    /** The same with a number of directors in zone 1. */
    static Settings settings(boolean straight, CacheStatusDetail cacheStatusDetail, int crew) {
        return settings(straight, cacheStatusDetail, crew, COLD, PARENT_COLD);
    }

    /** The same with members that may get little when they start. */
    static Settings tight(int crew) {
        return settings(true, CacheStatusDetail.ALL, crew, TIGHT, PARENT_TIGHT);
    }

    private static Settings settings(boolean straight, CacheStatusDetail cacheStatusDetail, int crew,
            SlowStartRule slowStart, SlowStartRule parentSlowStart) {
        HostCapabilities capabilities = new HostCapabilities(straight, true, true, true, false, false, 6, 1000, 0);
        return new Settings(0, crew + 1, 1, List.of(READ, KEYED, ONCE, FRESH), List.of(0, crew, 1), List.of(0, 0, 0),
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

    static MembersChanged fleet(int caches) {
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

    List<Action> tell(Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(now, event, actions::add);
        return actions;
    }

    Request request(int requestClass, long object, int part) {
        return new Request(String.format("%016x", ++requests), requestClass, 0, object, part,
                (int) (object % 32), 100,
                6_000_000, false);
    }

    /** A request for a large part, whose pace tells of a member's room. */
    Request bigRequest(long object) {
        return new Request(String.format("%016x", ++requests), 0, 0, object, 0, 0, 500, 6_000_000, false);
    }

    /** Asks for part 0 of an object and returns the one action. */
    SendVia read(long object) {
        return (SendVia) tell(request(0, object, 0)).get(0);
    }

    List<Action> answer(SendVia sent, int attempt, Result result, CacheStatus cacheStatus, long elapsedUs) {
        now += elapsedUs;
        return tell(new AttemptEnded(sent.request(), attempt, sent.member(), result, elapsedUs,
                result == Result.OK, cacheStatus, 0,
                null));
    }

    /** A read that is served in the time that its size takes. */
    SendVia served(long object, CacheStatus cacheStatus) {
        SendVia sent = read(object);
        answer(sent, 0, Result.OK, cacheStatus, 110_000);
        return sent;
    }
}
