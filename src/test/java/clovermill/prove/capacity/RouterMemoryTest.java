package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The memory of a router grows with the number of caches as little as the operators allow. */
class RouterMemoryTest {

    private static final double MB = 1e6;
    /** The different parts that were requested before the director of {@code review/2} ended. */
    private static final int PARTS = 9_800;

    /** Returns the megabytes that a router holds after requests for different parts. */
    private static double held(int caches, int parts) throws Exception {
        return Heap.retainedBy(() -> {
            RouterUnderTest router = new RouterUnderTest(caches, 0);
            for (long part = 0; part < parts; part++) {
                router.serve(part);
            }
            return router;
        }) / MB;
    }

    /** Guards against the director that ran out of memory with sixteen times the caches (review/2). */
    @ParameterizedTest
    @CsvSource({"67, 1067", "200, 3200"})
    void sixteenTimesTheCachesTakeAllowedMemory(int usual, int enlarged) throws Exception {
        double baseline = held(usual, PARTS);
        assertThat(held(enlarged, PARTS)).isLessThan(AllowedGrowth.MEMORY.bound(baseline, enlarged - usual));
    }

    /** Guards against the ring of objects, 6.4 KB a cache, which took a quarter of the heap with 3,200 caches. */
    @Test
    void eachCacheTakesAllowedMemory() throws Exception {
        int usual = 200;
        int enlarged = 3200;
        double growth = held(enlarged, 0) - held(usual, 0);
        assertThat(growth).isLessThan(AllowedGrowth.MEMORY.perThousandCaches() * (enlarged - usual) / 1000);
    }
}
