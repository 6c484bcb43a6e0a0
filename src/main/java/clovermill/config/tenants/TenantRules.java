package clovermill.config.tenants;

import java.util.Arrays;
import java.util.List;

/**
 * Whose a request is, by its class and its object's group. The most exact rule counts: one that names a class
 * before one that does not, then the shortest range of groups, then the first in the list.
 */
public final class TenantRules {

    /** The protocol's groups. */
    public static final int GROUPS = 256;

    /** {@code requestClass} -1 stands for every class; groups from {@code first} to {@code last}. */
    public record Rule(String tenant, int requestClass, int first, int last) {

        /** Checks the range. */
        public Rule {
            if (first < 0 || last >= GROUPS || first > last) {
                throw new IllegalArgumentException("groups " + first + " to " + last + " of tenant " + tenant
                        + " do not lie in 0 to " + (GROUPS - 1));
            }
        }

        private int breadth() {
            return (requestClass < 0 ? GROUPS : 0) + last - first;
        }
    }

    private final String[][] byClassAndGroup;
    private final String other;

    /** {@code other} is the tenant of what no rule names. */
    public TenantRules(List<Rule> rules, String other, int classes) {
        this.other = other;
        byClassAndGroup = new String[classes][GROUPS];
        int[][] breadths = new int[classes][GROUPS];
        for (int c = 0; c < classes; c++) {
            Arrays.fill(byClassAndGroup[c], other);
            Arrays.fill(breadths[c], Integer.MAX_VALUE);
            for (Rule rule : rules) {
                for (int g = rule.first; (rule.requestClass < 0 || rule.requestClass == c) && g <= rule.last; g++) {
                    if (rule.breadth() < breadths[c][g]) {
                        breadths[c][g] = rule.breadth();
                        byClassAndGroup[c][g] = rule.tenant;
                    }
                }
            }
        }
    }

    /** The tenant, never null. */
    public String tenant(int requestClass, int group) {
        return requestClass < 0 || requestClass >= byClassAndGroup.length || group < 0 || group >= GROUPS ? other
                : byClassAndGroup[requestClass][group];
    }
}
