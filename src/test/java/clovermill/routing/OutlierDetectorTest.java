package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.AbstractList;
import java.util.List;
import java.util.RandomAccess;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Whether an endpoint is healthy, by the breakers of its whole ring, and what it costs to find out. */
class OutlierDetectorTest {

    private static final int MANY_CACHES = 3200;

    private final RoutingContext context =
            new RoutingContext(TestDirector.settings(true, CacheStatusDetail.ALL), 1);
    private final EndpointSet endpoints = new EndpointSet(context);
    private final SlowStart slowStart = new SlowStart(context, endpoints, new ClassServiceTimes());
    private final OutlierDetector outliers = new OutlierDetector(context, endpoints, slowStart);

    OutlierDetectorTest() {
        context.begin(1_000_000, action -> {});
    }

    /** The endpoints of a ring, which counts how often one is looked at. */
    private static final class CountingList extends AbstractList<Endpoint> implements RandomAccess {
        private final List<Endpoint> all;
        private long looks;

        CountingList(List<Endpoint> all) {
            this.all = all;
        }

        @Override
        public Endpoint get(int index) {
            looks++;
            return all.get(index);
        }

        @Override
        public int size() {
            return all.size();
        }
    }

    /** Guards against the processor time of many caches: each health check looked at the breakers of all of them. */
    @Test
    void healthChecksDoNotLookAtEachCache() {
        endpoints.update(TestDirector.fullList(MANY_CACHES), slowStart::onStart);
        CountingList counting = new CountingList(endpoints.caches().endpoints);
        endpoints.caches().endpoints = counting;
        for (int failed = 0; failed < MANY_CACHES; failed += 4) {
            outliers.recordConnectFailure(counting.all.get(failed));
            outliers.recordFailure(counting.all.get(failed + 1));
            outliers.recordFailure(counting.all.get(failed + 1));
        }
        int healthy = 0;
        for (Endpoint cache : counting.all) {
            healthy += outliers.isHealthy(cache) ? 1 : 0;
        }
        assertThat(healthy).isEqualTo(MANY_CACHES / 2);
        assertThat(counting.looks).as("looks at breakers").isLessThanOrEqualTo(MANY_CACHES);
    }

    @Property(tries = 100)
    void healthFollowsTheBreakersOfTheRing(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int caches = random.nextInt(2, 9);
        endpoints.update(TestDirector.fullList(caches), slowStart::onStart);
        for (int step = 0; step < 200; step++) {
            context.nowUs += random.nextInt(600_000);
            List<Endpoint> ring = endpoints.caches().endpoints;
            int id = random.nextInt(caches);
            Endpoint cache = ring.get(random.nextInt(ring.size()));
            switch (random.nextInt(7)) {
                case 0 -> outliers.recordConnectFailure(cache);
                case 1, 2, 3 -> outliers.recordFailure(cache);
                case 4 -> outliers.recordSuccess(cache);
                case 5 -> slowStart.onStart(cache, context.nowUs);
                default -> endpoints.update(new MembersChanged(ListScope.CHANGES,
                        List.of(TestDirector.with(TestDirector.cache(id),
                                ring.size() > 1 && random.nextBoolean() ? Availability.DRAINING : Availability.HEALTHY,
                                0))),
                        slowStart::onStart);
            }
            assertHealthByDefinition();
        }
    }

    private void assertHealthByDefinition() {
        List<Endpoint> ring = endpoints.caches().endpoints;
        long open = ring.stream().filter(endpoint -> endpoint.breaker.isOpen()).count();
        for (Endpoint endpoint : ring) {
            assertThat(outliers.isHealthy(endpoint)).isEqualTo(endpoint.breaker.allowsRequest(context.nowUs)
                    || !endpoint.breaker.isFullyFailed() && 2 * open > ring.size());
        }
    }
}
