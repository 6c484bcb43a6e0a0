package clovermill.controlplane.placement.decide;

import clovermill.config.Json;
import clovermill.config.tenants.TenantRules;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The {@code tenants} and {@code placement} of one policy, with the names of zones and classes replaced by a director's
 * numbers for them. A tenant without a rule is not restricted. Immutable.
 */
public final class PlacementRules {

    /**
     * The locations that one tenant's data is restricted to.
     *
     * @param zones the numbers of the zones whose caches and hubs may be used
     * @param originAllowed whether the origin may be used
     * @param leaseRequired whether the tenant's requests are rejected without a lease
     */
    public record Rule(Set<Integer> zones, boolean originAllowed, boolean leaseRequired) {}

    private static final Set<String> KNOWN_MEMBERS = Set.of("tenants", "placement");
    /** The value of {@link TenantRules.Rule#requestClass} that stands for all classes. */
    private static final int ALL_CLASSES = -1;

    private final Map<String, Rule> rules;
    private final TenantRules tenants;
    private final List<TenantRules.Rule> ranges;

    private PlacementRules(Map<String, Rule> rules, TenantRules tenants, List<TenantRules.Rule> ranges) {
        this.rules = rules;
        this.tenants = tenants;
        this.ranges = ranges;
    }

    /**
     * Parses the text of a policy.
     *
     * @throws Json.Malformed if this director cannot enforce it; the message has a JSON pointer and the reason
     */
    public static PlacementRules parse(String text, List<String> zones, List<String> classes) throws Json.Malformed {
        Map<?, ?> root = Json.object(Json.parse(text));
        for (Object member : root.keySet()) {
            if (!KNOWN_MEMBERS.contains(member)) {
                throw new Json.Malformed("/" + member + ": a member that this version does not know");
            }
        }
        List<TenantRules.Rule> ranges = ranges(listOrEmpty(root, "tenants"), classes);
        Map<String, Rule> rules = rules(listOrEmpty(root, "placement"), ranges, zones);
        return new PlacementRules(rules, new TenantRules(ranges, "", classes.size()), ranges);
    }

    private static List<?> listOrEmpty(Map<?, ?> root, String member) throws Json.Malformed {
        return root.get(member) == null ? List.of() : Json.list(root, member);
    }

    private static List<TenantRules.Rule> ranges(List<?> tenants, List<String> classes) throws Json.Malformed {
        List<TenantRules.Rule> ranges = new ArrayList<>();
        for (int i = 0; i < tenants.size(); i++) {
            ranges.add(range("/tenants/" + i, Json.object(tenants.get(i)), classes));
        }
        return ranges;
    }

    private static Map<String, Rule> rules(List<?> placement, List<TenantRules.Rule> ranges, List<String> zones)
            throws Json.Malformed {
        Set<String> tenants = new HashSet<>();
        ranges.forEach(range -> tenants.add(range.tenant()));
        Map<String, Rule> rules = new HashMap<>();
        for (int i = 0; i < placement.size(); i++) {
            Map<?, ?> each = Json.object(placement.get(i));
            String tenant = Json.string(each, "tenant");
            if (!tenants.contains(tenant) || rules.put(tenant, rule("/placement/" + i, each, zones)) != null) {
                throw new Json.Malformed("/placement/" + i + "/tenant: " + tenant + " is no tenant, or has two rules");
            }
        }
        return rules;
    }

    private static TenantRules.Rule range(String pointer, Map<?, ?> each, List<String> classes) throws Json.Malformed {
        String name = each.get("class") == null ? null : Json.string(each, "class");
        if (name != null && !classes.contains(name)) {
            throw new Json.Malformed(pointer + "/class: no class is called " + name);
        }
        List<?> groups = each.get("groups") == null ? List.of(0.0, TenantRules.GROUPS - 1.0) : Json.list(each,
                "groups");
        try {
            return new TenantRules.Rule(Json.string(each, "tenant"), name == null ? ALL_CLASSES : classes.indexOf(name),
                    ((Double) groups.get(0)).intValue(), ((Double) groups.get(1)).intValue());
        } catch (IllegalArgumentException | ClassCastException | IndexOutOfBoundsException malformed) {
            throw new Json.Malformed(pointer + "/groups: two groups are wanted, the first and the last");
        }
    }

    private static Rule rule(String pointer, Map<?, ?> each, List<String> zones) throws Json.Malformed {
        Set<Integer> allowed = new HashSet<>();
        List<?> sites = Json.list(each, "sites");
        for (int i = 0; i < sites.size(); i++) {
            if (!zones.contains(sites.get(i))) {
                throw new Json.Malformed(pointer + "/sites/" + i + ": no location is called " + sites.get(i));
            }
            allowed.add(zones.indexOf(sites.get(i)));
        }
        return new Rule(Set.copyOf(allowed), Boolean.TRUE.equals(each.get("archive")),
                Boolean.TRUE.equals(each.get("protected")));
    }

    /**
     * Returns the rule for a request, or null if it is not restricted. Called for each attempt, so it allocates no
     * Optional.
     */
    public Rule rule(int requestClass, int group) {
        return rules.isEmpty() ? null : rules.get(tenants.tenant(requestClass, group));
    }

    /**
     * Returns whether a director without a lease serves the same requests in the same way under both policies: every
     * rule that differs requires a lease in both, and the tenants are the same.
     */
    public boolean sameWithoutLease(PlacementRules next) {
        Set<String> tenantNames = new HashSet<>(rules.keySet());
        tenantNames.addAll(next.rules.keySet());
        return ranges.equals(next.ranges) && tenantNames.stream().allMatch(tenant -> sameOrLeaseRequired(next, tenant));
    }

    private boolean sameOrLeaseRequired(PlacementRules next, String tenant) {
        return Objects.equals(rules.get(tenant), next.rules.get(tenant))
                || leaseRequired(tenant) && next.leaseRequired(tenant);
    }

    private boolean leaseRequired(String tenant) {
        return rules.get(tenant) != null && rules.get(tenant).leaseRequired();
    }
}
