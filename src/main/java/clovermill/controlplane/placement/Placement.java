package clovermill.controlplane.placement;

import clovermill.config.Json;
import clovermill.controlplane.placement.decide.PlacementRules;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.EndpointFilter;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Enforces the placement rules of the policy in force at this director: immediately rejects a request that no endpoint
 * may serve, and decides for each attempt, at the time it is sent, which endpoints it may use. On the loop's thread,
 * except for {@link #rejection} and {@link #sameWithoutLease}, which any thread may call.
 */
public final class Placement implements UsageListener, EndpointFilter {

    /** A lost lease is usually renewed within this time. */
    private static final long LEASE_RETRY_AFTER_MS = 200;

    /**
     * The rules in force and the lease on them.
     *
     * @param leaseExpiresUs the time at which the lease expires, on this director's clock
     * @param policies the rules of one policy; of two during a change, both of which apply
     */
    private record InForce(long leaseExpiresUs, List<PlacementRules> policies) {}

    private final Clock clock;
    private final Settings settings;
    private final List<String> zones;
    private final List<String> classes;
    private final boolean leaseAlwaysRequired;
    private final UsageListener next;
    private final Map<String, Member> endpoints = new HashMap<>();
    /** The rules of the policies in force, by their text. */
    private final Map<String, PlacementRules> parsed = new HashMap<>();
    /** Null until a policy is known. */
    private InForce inForce;

    /**
     * Creates a filter that rejects all requests until a policy is known.
     *
     * @param leaseAlwaysRequired whether all requests are rejected without a lease
     * @param next the next listener of the chain, or null
     */
    public Placement(Clock clock, Settings settings, List<String> zones, List<String> classes,
            boolean leaseAlwaysRequired,
            UsageListener next) {
        this.clock = clock;
        this.settings = settings;
        this.zones = zones;
        this.classes = classes;
        this.leaseAlwaysRequired = leaseAlwaysRequired;
        this.next = next;
    }

    /** Returns the reason why this director cannot enforce a policy, with a JSON pointer; empty if it can. */
    public Optional<String> rejection(String policy) {
        try {
            PlacementRules.parse(policy, zones, classes);
            return Optional.empty();
        } catch (Json.Malformed malformed) {
            return Optional.of(malformed.getMessage());
        }
    }

    /** Returns whether a director without a lease behaves the same under two policies; false if one is invalid. */
    public boolean sameWithoutLease(String one, String other) {
        try {
            return leaseAlwaysRequired || PlacementRules.parse(one, zones, classes)
                    .sameWithoutLease(PlacementRules.parse(other, zones, classes));
        } catch (Json.Malformed malformed) {
            return false;
        }
    }

    /**
     * Enforces these policies from now on.
     *
     * @param leaseExpiresUs the time at which the lease expires, on this director's clock
     * @throws IllegalStateException if {@link #rejection} returns a reason for one of them
     */
    public void enforce(List<String> policies, long leaseExpiresUs) {
        Map<String, PlacementRules> before = Map.copyOf(parsed);
        parsed.clear();
        List<PlacementRules> parsedPolicies = policies.stream().map(text -> parsed.computeIfAbsent(text,
                key -> before.containsKey(key) ? before.get(key) : parseChecked(key))).toList();
        inForce = new InForce(leaseExpiresUs, parsedPolicies);
    }

    private PlacementRules parseChecked(String policy) {
        try {
            return PlacementRules.parse(policy, zones, classes);
        } catch (Json.Malformed malformed) {
            throw new IllegalStateException("the policy was not validated: " + malformed.getMessage());
        }
    }

    @Override
    public long retryAfterMs(ClientRequest request) {
        if (rejectsAll()) {
            return LEASE_RETRY_AFTER_MS;
        }
        for (PlacementRules rules : inForce.policies) {
            PlacementRules.Rule rule = rules.rule(request.requestClass(), request.group());
            if (rule != null && rule.leaseRequired() && !hasLease()) {
                return LEASE_RETRY_AFTER_MS;
            }
            if (rule != null && !anyEndpointAllowed(request)) {
                return settings.capabilities().maxRetryAfterUs() / 1000;
            }
        }
        return next == null ? ADMITTED : next.retryAfterMs(request);
    }

    private boolean rejectsAll() {
        return inForce == null || leaseAlwaysRequired && !hasLease();
    }

    private boolean hasLease() {
        return clock.micros() < inForce.leaseExpiresUs;
    }

    private boolean anyEndpointAllowed(ClientRequest request) {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.availability() == Availability.HEALTHY
                && allows(request, endpoint)
                && (endpoint.zone() == settings.zone() || settings.capabilities().cacheBypass()));
    }

    @Override
    public Predicate<String> allowedMembers(ClientRequest request) {
        return id -> {
            Member endpoint = endpoints.get(id);
            return endpoint != null && allows(request, endpoint);
        };
    }

    private boolean allows(ClientRequest request, Member endpoint) {
        if (rejectsAll()) {
            return false;
        }
        for (PlacementRules rules : inForce.policies) {
            PlacementRules.Rule rule = rules.rule(request.requestClass(), request.group());
            if (rule != null && (rule.leaseRequired() && !hasLease() || !allows(rule, endpoint))) {
                return false;
            }
        }
        return true;
    }

    private boolean allows(PlacementRules.Rule rule, Member endpoint) {
        boolean isOrigin = endpoint.kind() == settings.originKind();
        return isOrigin ? rule.originAllowed() : rule.zones().contains(endpoint.zone());
    }

    @Override
    public void admissionWithdrawn(ClientRequest request) {
        if (next != null) {
            next.admissionWithdrawn(request);
        }
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        if (next != null) {
            next.requestEnded(usage);
        }
    }

    @Override
    public void membersChanged(MembersChanged change) {
        if (change.scope() == ListScope.FULL || change.scope() == ListScope.LAST_KNOWN) {
            endpoints.clear();
        }
        for (Member endpoint : change.members()) {
            if (endpoint.availability() == Availability.REMOVED) {
                endpoints.remove(endpoint.id()); // ids are not reused, so entries would accumulate
            } else {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
        if (next != null) {
            next.membersChanged(change);
        }
    }
}
