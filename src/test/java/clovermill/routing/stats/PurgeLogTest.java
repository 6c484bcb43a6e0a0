package clovermill.routing.stats;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The log's bound by number: beyond it copies count as older than they are, never as newer. */
class PurgeLogTest {

    private static final long RETENTION_US = 37_000_000;
    private static final long ACTIVE_US = 7_000_000;
    private static final int MAX_PURGES = 20;
    private static final int OBJECTS = 60;

    /** Guards against a director that runs out of memory where a great many objects are purged at once. */
    @Test
    void storeOfPurgesStaysWithinItsNumber() {
        PurgeLog log = new PurgeLog(MAX_PURGES);
        for (long object = 0; object < 100_000; object++) {
            log.add(object, 0, object, 1_000 + object, RETENTION_US);
            assertThat(log.size()).isLessThanOrEqualTo(MAX_PURGES);
        }
        assertThat(log.confirmedSincePurge(7, 0, 90_000)).as("purged long ago").isFalse();
        assertThat(log.confirmedSincePurge(99_999, 0, 100_998)).as("purged at last").isFalse();
        assertThat(log.confirmedSincePurge(7, 0, 200_000)).as("confirmed since").isTrue();
        assertThat(log.latestPurgeUs(7, 0, 101_000, ACTIVE_US)).isEqualTo(100_000 - MAX_PURGES - 1);
    }

    @Property(tries = 200)
    void aBoundedLogTrustsNoCopyThatAnUnboundedOneDoesNot(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PurgeLog bounded = new PurgeLog(MAX_PURGES);
        PurgeLog unbounded = new PurgeLog(Integer.MAX_VALUE);
        long nowUs = 1_000_000_000;
        for (int step = 0; step < 300; step++) {
            nowUs += random.nextInt(1_000_000);
            Long object = random.nextInt(10) == 0 ? null : random.nextLong(OBJECTS);
            int group = random.nextInt(4);
            long madeUs = nowUs - random.nextInt(3_000_000);
            bounded.add(object, group, madeUs, nowUs, RETENTION_US);
            unbounded.add(object, group, madeUs, nowUs, RETENTION_US);
            long asked = random.nextLong(OBJECTS);
            long confirmedUs = nowUs - random.nextInt(30_000_000);
            assertThat(bounded.confirmedSincePurge(asked, group, confirmedUs)
                    && !unbounded.confirmedSincePurge(asked, group, confirmedUs)).isFalse();
            assertThat(bounded.latestPurgeUs(asked, group, nowUs, ACTIVE_US))
                    .isGreaterThanOrEqualTo(unbounded.latestPurgeUs(asked, group, nowUs, ACTIVE_US));
        }
    }
}
