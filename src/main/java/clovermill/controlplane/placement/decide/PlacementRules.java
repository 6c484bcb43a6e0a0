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
 * The {@code tenants} and {@code placement} of one policy, with the names of a director's zones and classes as numbers.
 * Who no rule names is not bound.
 */
public final class PlacementRules {

    /**
     * Where a tenant's data may be.
     *
     * @param zones of caches and hubs, by number
     * @param archive whether the archive may be asked past the hubs
     * @param guarded whether nothing is served to it without a lease
     */
    public record Rule(Set<Integer> zones, boolean archive, boolean guarded) {}

    /** Binds nobody. */
    public static final PlacementRules NONE = new PlacementRules(Map.of(), new TenantRules(List.of(), "", 0),
            List.of());
    private static final Set<String> MEMBERS = Set.of("tenants", "placement");

    private final Map<String, Rule> rules;
    private final TenantRules tenants;
    private final List<TenantRules.Rule> ranges;

    private PlacementRules(Map<String, Rule> rules, TenantRules tenants, List<TenantRules.Rule> ranges) {
        this.rules = rules;
        this.tenants = tenants;
        this.ranges = ranges;
    }

    /**
     * Reads the text of a policy.
     *
     * @throws Json.Malformed with a JSON pointer and the reason if this director cannot keep it
     */
    public static PlacementRules read(String text, List<String> zones, List<String> classes) throws Json.Malformed {
        Map<?, ?> root = Json.object(Json.parse(text));
        for (Object member : root.keySet()) {
            if (!MEMBERS.contains(member)) {
                throw new Json.Malformed("/" + member + ": a member that this version does not know");
            }
        }
        List<TenantRules.Rule> ranges = new ArrayList<>();
        Set<String> named = new HashSet<>();
        List<?> listed = root.get("tenants") == null ? List.of() : Json.list(root, "tenants");
        for (int i = 0; i < listed.size(); i++) {
            ranges.add(range("/tenants/" + i, Json.object(listed.get(i)), classes));
            named.add(ranges.get(i).tenant());
        }
        Map<String, Rule> rules = new HashMap<>();
        List<?> placed = root.get("placement") == null ? List.of() : Json.list(root, "placement");
        for (int i = 0; i < placed.size(); i++) {
            Map<?, ?> each = Json.object(placed.get(i));
            String tenant = Json.string(each, "tenant");
            if (!named.contains(tenant) || rules.put(tenant, rule("/placement/" + i, each, zones)) != null) {
                throw new Json.Malformed("/placement/" + i + "/tenant: " + tenant + " is no tenant, or has two rules");
            }
        }
        return new PlacementRules(rules, new TenantRules(ranges, "", classes.size()), ranges);
    }

    private static TenantRules.Rule range(String at, Map<?, ?> each, List<String> classes) throws Json.Malformed {
        String name = each.get("class") == null ? null : Json.string(each, "class");
        if (name != null && !classes.contains(name)) {
            throw new Json.Malformed(at + "/class: no class is called " + name);
        }
        List<?> groups = each.get("groups") == null ? List.of(0.0, TenantRules.GROUPS - 1.0) : Json.list(each,
                "groups");
        try {
            return new TenantRules.Rule(Json.string(each, "tenant"), name == null ? -1 : classes.indexOf(name),
                    ((Double) groups.get(0)).intValue(), ((Double) groups.get(1)).intValue());
        } catch (IllegalArgumentException | ClassCastException | IndexOutOfBoundsException bad) {
            throw new Json.Malformed(at + "/groups: two groups are wanted, the first and the last");
        }
    }

    private static Rule rule(String at, Map<?, ?> each, List<String> zones) throws Json.Malformed {
        Set<Integer> allowed = new HashSet<>();
        List<?> sites = Json.list(each, "sites");
        for (int i = 0; i < sites.size(); i++) {
            if (!zones.contains(sites.get(i))) {
                throw new Json.Malformed(at + "/sites/" + i + ": no location is called " + sites.get(i));
            }
            allowed.add(zones.indexOf(sites.get(i)));
        }
        return new Rule(Set.copyOf(allowed), Boolean.TRUE.equals(each.get("archive")),
                Boolean.TRUE.equals(each.get("protected")));
    }

    /** The rule that binds a request, or null. */
    public Rule of(int requestClass, int group) {
        return rules.isEmpty() ? null : rules.get(tenants.tenant(requestClass, group));
    }

    /**
     * Whether who has no lease does nothing that differs between two policies: every rule that differs is guarded in
     * both, and the tenants are the same.
     */
    public boolean guardsAllThatDiffers(PlacementRules next) {
        Set<String> names = new HashSet<>(rules.keySet());
        names.addAll(next.rules.keySet());
        return ranges.equals(next.ranges) && names.stream().allMatch(name -> Objects.equals(rules.get(name),
                next.rules.get(name)) || guarded(name) && next.guarded(name));
    }

    private boolean guarded(String tenant) {
        return rules.get(tenant) != null && rules.get(tenant).guarded();
    }
}
