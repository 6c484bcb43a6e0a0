package clovermill.config.tenants;

import java.util.Arrays;
import java.util.List;

/**
 * Maps a request to its tenant by its class and its object's group. The most specific rule applies: one that names a
 * class before one that does not, then the shortest range of groups, then the first in the list. Immutable.
 */
public final class TenantRules {

    /** The number of groups of the protocol. */
    public static final int GROUPS = 256;

    /**
     * The requests of one tenant.
     *
     * @param requestClass a class by number, or -1 for every class
     * @param firstGroup of the range
     * @param lastGroup of the range, included
     */
    public record Rule(String tenant, int requestClass, int firstGroup, int lastGroup) {

        /** Throws {@link IllegalArgumentException}, naming the range and the tenant, if it is no range of groups. */
        public Rule {
            if (firstGroup < 0 || lastGroup >= GROUPS || firstGroup > lastGroup) {
                throw new IllegalArgumentException("groups " + firstGroup + " to " + lastGroup + " of tenant " + tenant
                        + " do not lie in 0 to " + (GROUPS - 1));
            }
        }

        /** The lower, the more specific. */
        private int breadth() {
            return (requestClass < 0 ? GROUPS : 0) + lastGroup - firstGroup;
        }

        private boolean appliesTo(int otherClass) {
            return requestClass < 0 || requestClass == otherClass;
        }
    }

    private final String[][] byClassAndGroup;
    private final String defaultTenant;

    /** {@code defaultTenant} has all requests that no rule names; {@code classes} is how many classes there are. */
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

    /** The tenant of a request, never null; the default one for a class or group that does not exist. */
    public String tenant(int requestClass, int group) {
        boolean exists = requestClass >= 0 && requestClass < byClassAndGroup.length && group >= 0 && group < GROUPS;
        return exists ? byClassAndGroup[requestClass][group] : defaultTenant;
    }
}
