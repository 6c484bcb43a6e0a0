package clovermill.routing;

import clovermill.routing.api.Action;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ColdRule;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.Permissions;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import clovermill.routing.api.Siblings;
import clovermill.routing.api.Telling;
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
    static final ColdRule COLD = new ColdRule(0.2, 14_000_000, 4, 3_000_000);
    static final ColdRule PARENT_COLD = new ColdRule(0.1, 20_000_000, 2, 3_000_000);

    /** With room for few requests at a time. */
    static final ColdRule TIGHT = new ColdRule(0.18, 17_000_000, 3, 1_000_000);
    static final ColdRule PARENT_TIGHT = new ColdRule(0.08, 20_000_000, 2, 1_000_000);

    final RequestRouter policy;
    long now = 10_000_000_000L;
    private int requests;

    Director(Settings settings, long seed) {
        policy = new RequestRouter(settings, seed);
    }

    /** A director of zone 1 with four caches, two parents and the origin, already told of them. */
    static Director ready() {
        Director director = new Director(settings(true, Telling.ALL), 7);
        director.tell(fleet(4));
        return director;
    }

    private static RequestClass write(Effect effect) {
        return new RequestClass(600_000, 0, 3_000_000, 3, 0, effect, KeyScope.ALL, 3_000_000, false, true,
                false, 0, 0,
                0.7);
    }

    static Settings settings(boolean straight, Telling telling) {
        return settings(straight, telling, 1);
    }

    /** The same with a number of directors in zone 1. */
    static Settings settings(boolean straight, Telling telling, int crew) {
        return settings(straight, telling, crew, COLD, PARENT_COLD);
    }

    /** The same with members that may get little when they start. */
    static Settings tight(int crew) {
        return settings(true, Telling.ALL, crew, TIGHT, PARENT_TIGHT);
    }

    private static Settings settings(boolean straight, Telling telling, int crew, ColdRule cold, ColdRule parentCold) {
        Permissions allowed = new Permissions(straight, true, true, true, false, false, 6, 1000, 0);
        return new Settings(0, crew + 1, 1, List.of(READ, KEYED, ONCE, FRESH), List.of(0, crew, 1), List.of(0, 0, 0),
                PARENT,
                ORIGIN, 1000, true, Siblings.LOCATION, telling, cold, parentCold, 2_000_000, 8_000,
                300_000,
                6_000_000, 400_000, false, 10_000_000, 2.5, 3_000_000, 0, allowed);
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

    static Members fleet(int caches) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            members.add(cache(i));
        }
        members.add(parent(0));
        members.add(parent(1));
        members.add(new Member("origin", 0, ORIGIN, 200, Availability.HEALTHY, 1, 0));
        members.add(new Member("elsewhere", 2, 0, 3, Availability.HEALTHY, 8, 0));
        return new Members(ListScope.FULL, members);
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

    List<Action> answer(SendVia sent, int attempt, Result result, Note note, long elapsedUs) {
        now += elapsedUs;
        return tell(new Outcome(sent.request(), attempt, sent.member(), result, elapsedUs,
                result == Result.OK, note, 0,
                null));
    }

    /** A read that is served in the time that its size takes. */
    SendVia served(long object, Note note) {
        SendVia sent = read(object);
        answer(sent, 0, Result.OK, note, 110_000);
        return sent;
    }
}
