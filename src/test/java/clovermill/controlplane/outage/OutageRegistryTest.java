package clovermill.controlplane.outage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the registry remembers of the calls for as many caches as the operators have. */
class OutageRegistryTest {

    private static final int MOST_CACHES = 3200;
    private static final long FIRST_MERGE_US = 1_000_000;

    private final OutageRegistry outages = new OutageRegistry();

    private static Map<String, Long> stamps() {
        Map<String, Long> stamps = new HashMap<>();
        for (long i = 0; i < MOST_CACHES; i++) {
            stamps.put("s-" + i, i);
        }
        return stamps;
    }

    private long startedUs(int cache) {
        return outages.startedUs("s-" + cache, 0);
    }

    /** Guards against recorded calls that were forgotten and taken for new ones, so that caches started again. */
    @Test
    void eachMergeLeavesTheStartsOfAllCachesAsTheyWere() {
        outages.mergeEnableCalls(stamps(), stamp -> FIRST_MERGE_US);
        outages.mergeEnableCalls(stamps(), stamp -> FIRST_MERGE_US + 60_000_000);
        for (int cache = 0; cache < MOST_CACHES; cache++) {
            assertThat(startedUs(cache)).isEqualTo(FIRST_MERGE_US);
        }
    }

    @Test
    void ownCallsAreForgottenOldestFirst() {
        outages.mergeEnableCalls(stamps(), stamp -> FIRST_MERGE_US);
        outages.mergeEnableCalls(Map.of(), stamp -> FIRST_MERGE_US);
        for (int call = MOST_CACHES; call < 2 * MOST_CACHES; call++) {
            outages.disable("s-" + call);
            outages.enable("s-" + call, call, FIRST_MERGE_US + call);
        }
        assertThat(startedUs(2 * MOST_CACHES - 1)).isEqualTo(FIRST_MERGE_US + 2 * MOST_CACHES - 1);
        assertThat(startedUs(2 * MOST_CACHES - 1000)).isEqualTo(FIRST_MERGE_US + 2 * MOST_CACHES - 1000);
        assertThat(startedUs(2 * MOST_CACHES - 1001)).isZero();
        assertThat(startedUs(0)).isZero();
    }
}
