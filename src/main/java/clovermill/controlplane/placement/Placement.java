package clovermill.controlplane.placement;

import clovermill.config.Json;
import clovermill.controlplane.placement.decide.PlacementRules;
import clovermill.dataplane.proxy.EndpointFilter;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The policy in force at this director, as far as it says where data may be: turns away at once what it binds and
 * nobody may serve, and tells of any member whether an attempt may meet it at this very moment. On the loop's thread.
 */
public final class Placement implements UsageListener, EndpointFilter {

    /** A lease is back within a moment, or not for long. */
    private static final long AFTER_MS = 200;

    /** What holds here: two sets of rules in a change, of which both bind; null before anything is known. */
    private record InForce(long untilUs, List<PlacementRules> rules) {}

    private final Clock clock;
    private final Settings settings;
    private final List<String> zones;
    private final List<String> classes;
    private final boolean allBound;
    private final UsageListener next;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, PlacementRules> read = new HashMap<>();
    private InForce inForce;

    /**
     * {@code allBound} if nothing at all is served without a lease; {@code next} hears of all requests too, or null.
     */
    public Placement(Clock clock, Settings settings, List<String> zones, List<String> classes, boolean allBound,
            UsageListener next) {
        this.clock = clock;
        this.settings = settings;
        this.zones = zones;
        this.classes = classes;
        this.allBound = allBound;
        this.next = next;
    }

    /** Why a policy cannot be kept here, or null. May be called on any thread. */
    public String check(String text) {
        try {
            PlacementRules.read(text, zones, classes);
            return null;
        } catch (Json.Malformed bad) {
            return bad.getMessage();
        }
    }

    /** Whether who has no lease does nothing that differs between two policies. May be called on any thread. */
    public boolean binding(String one, String other) {
        try {
            return allBound || PlacementRules.read(one, zones, classes)
                    .guardsAllThatDiffers(PlacementRules.read(other, zones, classes));
        } catch (Json.Malformed unreadable) {
            return false;
        }
    }

    /** From now on these policies hold, until a time on this director's clock for what needs a lease. */
    public void holds(List<String> policies, long untilUs) {
        Map<String, PlacementRules> before = Map.copyOf(read);
        read.clear();
        List<PlacementRules> rules = policies.stream().map(text -> read.computeIfAbsent(text,
                key -> before.containsKey(key) ? before.get(key) : parsed(key))).toList();
        inForce = new InForce(untilUs, rules);
    }

    private PlacementRules parsed(String text) {
        try {
            return PlacementRules.read(text, zones, classes);
        } catch (Json.Malformed bad) {
            throw new IllegalStateException("a policy that was not checked: " + bad.getMessage());
        }
    }

    @Override
    public long retryAfterMillis(ClientRequest ask) {
        if (inForce == null || allBound && !leased()) {
            return AFTER_MS;
        }
        for (PlacementRules rules : inForce.rules) {
            PlacementRules.Rule rule = rules.of(ask.requestClass(), ask.group());
            if (rule != null && (rule.guarded() && !leased() || !anywhere(ask))) {
                return rule.guarded() && !leased() ? AFTER_MS : settings.allowed().maxRetryAfterUs() / 1000;
            }
        }
        return next == null ? ADMITTED : next.retryAfterMillis(ask);
    }

    private boolean leased() {
        return clock.micros() < inForce.untilUs;
    }

    /** Whether any member that is up may serve a request. */
    private boolean anywhere(ClientRequest ask) {
        return members.values().stream().anyMatch(member -> member.availability() == Availability.HEALTHY
                && allows(ask, member) && (member.zone() == settings.zone() || settings.allowed().straight()));
    }

    @Override
    public Predicate<String> allowedMembers(ClientRequest ask) {
        return id -> {
            Member member = members.get(id);
            return member != null && allows(ask, member);
        };
    }

    private boolean allows(ClientRequest ask, Member member) {
        if (inForce == null || allBound && !leased()) {
            return false;
        }
        for (PlacementRules rules : inForce.rules) {
            PlacementRules.Rule rule = rules.of(ask.requestClass(), ask.group());
            boolean archive = member.kind() == settings.originKind();
            if (rule != null && (rule.guarded() && !leased() || (archive ? !rule.archive()
                    : !rule.zones().contains(member.zone())))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        if (next != null) {
            next.requestEnded(usage);
        }
    }

    @Override
    public void membersChanged(Members news) {
        if (news.scope() == ListScope.FULL || news.scope() == ListScope.REMEMBERED) {
            members.clear();
        }
        for (Member member : news.members()) {
            if (member.availability() == Availability.GONE) {
                members.remove(member.id()); // ids are not used again, and would gather
            } else {
                members.put(member.id(), member);
            }
        }
        if (next != null) {
            next.membersChanged(news);
        }
    }
}
