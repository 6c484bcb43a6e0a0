package clovermill.config.tenants;

import java.util.Arrays;
import java.util.List;

/**
 * Maps a request to its tenant by its class and its object's group. The most specific rule applies: a rule that names a
 * class precedes one that does not, then the shortest range of groups applies, then the first in the list. Immutable.
 */
public final class TenantRules {

    /** The number of object groups in the protocol. */
    public static final int GROUPS = 256;

    /**
     * A rule that assigns requests to a tenant.
     *
     * @param requestClass a class by number, or -1 for every class
     * @param firstGroup the first group of the range
     * @param lastGroup the last group of the range, inclusive
     */
    public record Rule(String tenant, int requestClass, int firstGroup, int lastGroup) {

        /** Throws {@link IllegalArgumentException}, naming the range and the tenant, if the range is invalid. */
        public Rule {
            if (firstGroup < 0 || lastGroup >= GROUPS || firstGroup > lastGroup) {
                throw new IllegalArgumentException("groups " + firstGroup + " to " + lastGroup + " of tenant " + tenant
                        + " do not lie in 0 to " + (GROUPS - 1));
            }
        }

        /** Returns how broad this rule is; a lower value is more specific. */
        private int breadth() {
            return (requestClass < 0 ? GROUPS : 0) + lastGroup - firstGroup;
        }

        private boolean appliesTo(int otherClass) {
            return requestClass < 0 || requestClass == otherClass;
        }
    }

    private final String[][] byClassAndGroup;
    private final String defaultTenant;

    /**
     * Creates the mapping.
     *
     * @param defaultTenant the tenant of all requests that no rule matches
     * @param classes the number of request classes
     */
    public TenantRules(List<Rule> rules, String defaultTenant, int classes) {
        this.defaultTenant = defaultTenant;
        byClassAndGroup = new String[classes][];
        for (int requestClass = 0; requestClass < classes; requestClass++) {
            byClassAndGroup[requestClass] = byGroup(rules, defaultTenant, requestClass);
        }
    }

    private static String[] byGroup(List<Rule> rules, String defaultTenant, int requestClass) {
        String[] tenants = new String[GROUPS];
        Arrays.fill(tenants, defaultTenant);
        int[] breadths = new int[GROUPS];
        Arrays.fill(breadths, Integer.MAX_VALUE);
        for (Rule rule : rules) {
            for (int group = rule.firstGroup; rule.appliesTo(requestClass) && group <= rule.lastGroup; group++) {
                if (rule.breadth() < breadths[group]) {
                    breadths[group] = rule.breadth();
                    tenants[group] = rule.tenant;
                }
            }
        }
        return tenants;
    }

    /** Returns the tenant of a request, never null; the default tenant for a class or group that does not exist. */
    public String tenant(int requestClass, int group) {
        boolean exists = requestClass >= 0 && requestClass < byClassAndGroup.length && group >= 0 && group < GROUPS;
        return exists ? byClassAndGroup[requestClass][group] : defaultTenant;
    }
}
