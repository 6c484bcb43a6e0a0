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
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Enforces the placement rules of the policy in force at this director: rejects at once a request that no endpoint may
 * serve, and decides for each attempt, at the moment it is written, which endpoints it may use. On the loop's thread,
 * but for {@link #rejection} and {@link #guardsAllDifferences}, which any thread may call.
 */
public final class Placement implements UsageListener, EndpointFilter {

    /** A lost lease is usually renewed within this time. */
    private static final long LEASE_RETRY_AFTER_MS = 200;

    /**
     * The rules in force, until the lease ends.
     *
     * @param untilUs the end of the lease, on this director's clock
     * @param rules of one policy; of two during a change, both of which bind
     */
    private record InForce(long untilUs, List<PlacementRules> rules) {}

    private final Clock clock;
    private final Settings settings;
    private final List<String> zones;
    private final List<String> classes;
    private final boolean allGuarded;
    private final UsageListener next;
    private final Map<String, Member> endpoints = new HashMap<>();
    private final Map<String, PlacementRules> parsed = new HashMap<>();
    /** Null until a policy is known; tested for each request. */
    private InForce inForce;

    /**
     * Rejects everything until a policy is known.
     *
     * @param allGuarded whether no request at all is served without a lease
     * @param next the next listener of the chain, or null
     */
    public Placement(Clock clock, Settings settings, List<String> zones, List<String> classes, boolean allGuarded,
            UsageListener next) {
        this.clock = clock;
        this.settings = settings;
        this.zones = zones;
        this.classes = classes;
        this.allGuarded = allGuarded;
        this.next = next;
    }

    /** Why this director cannot enforce a policy, with a JSON pointer; empty if it can. */
    public Optional<String> rejection(String policy) {
        try {
            PlacementRules.parse(policy, zones, classes);
            return Optional.empty();
        } catch (Json.Malformed malformed) {
            return Optional.of(malformed.getMessage());
        }
    }

    /** Whether a director without a lease acts alike under two policies; false if one cannot be parsed. */
    public boolean guardsAllDifferences(String one, String other) {
        try {
            return allGuarded || PlacementRules.parse(one, zones, classes)
                    .guardsAllDifferences(PlacementRules.parse(other, zones, classes));
        } catch (Json.Malformed malformed) {
            return false;
        }
    }

    /**
     * Enforces these policies from now on.
     *
     * @param untilUs the end of the lease, on this director's clock
     * @throws IllegalStateException if {@link #rejection} has a reason against one of them
     */
    public void enforce(List<String> policies, long untilUs) {
        Map<String, PlacementRules> before = Map.copyOf(parsed);
        parsed.clear();
        List<PlacementRules> rules = policies.stream().map(text -> parsed.computeIfAbsent(text,
                key -> before.containsKey(key) ? before.get(key) : parseChecked(key))).toList();
        inForce = new InForce(untilUs, rules);
    }

    private PlacementRules parseChecked(String policy) {
        try {
            return PlacementRules.parse(policy, zones, classes);
        } catch (Json.Malformed malformed) {
            throw new IllegalStateException("a policy that was not checked: " + malformed.getMessage());
        }
    }

    @Override
    public long retryAfterMs(ClientRequest request) {
        if (nothingServed()) {
            return LEASE_RETRY_AFTER_MS;
        }
        for (PlacementRules rules : inForce.rules) {
            PlacementRules.Rule rule = rules.rule(request.requestClass(), request.group());
            if (rule != null && rule.guarded() && !leaseHeld()) {
                return LEASE_RETRY_AFTER_MS;
            }
            if (rule != null && !anyEndpointAllowed(request)) {
                return settings.allowed().maxRetryAfterUs() / 1000;
            }
        }
        return next == null ? ADMITTED : next.retryAfterMs(request);
    }

    private boolean nothingServed() {
        return inForce == null || allGuarded && !leaseHeld();
    }

    private boolean leaseHeld() {
        return clock.micros() < inForce.untilUs;
    }

    private boolean anyEndpointAllowed(ClientRequest request) {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.availability() == Availability.HEALTHY
                && allows(request, endpoint)
                && (endpoint.zone() == settings.zone() || settings.allowed().straight()));
    }

    @Override
    public Predicate<String> allowedMembers(ClientRequest request) {
        return id -> {
            Member endpoint = endpoints.get(id);
            return endpoint != null && allows(request, endpoint);
        };
    }

    private boolean allows(ClientRequest request, Member endpoint) {
        if (nothingServed()) {
            return false;
        }
        for (PlacementRules rules : inForce.rules) {
            PlacementRules.Rule rule = rules.rule(request.requestClass(), request.group());
            if (rule != null && (rule.guarded() && !leaseHeld() || !allows(rule, endpoint))) {
                return false;
            }
        }
        return true;
    }

    private boolean allows(PlacementRules.Rule rule, Member endpoint) {
        boolean archive = endpoint.kind() == settings.originKind();
        return archive ? rule.archive() : rule.zones().contains(endpoint.zone());
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        if (next != null) {
            next.requestEnded(usage);
        }
    }

    @Override
    public void membersChanged(Members change) {
        if (change.scope() == ListScope.FULL || change.scope() == ListScope.REMEMBERED) {
            endpoints.clear();
        }
        for (Member endpoint : change.members()) {
            if (endpoint.availability() == Availability.GONE) {
                endpoints.remove(endpoint.id()); // ids are not reused, and would accumulate
            } else {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
        if (next != null) {
            next.membersChanged(change);
        }
    }
}
