package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The listed endpoints after any series of lists and changes, and what a change costs. */
class EndpointSetTest {

    private static final int LOCAL_ZONE = 1;
    private static final int IDS = 12;

    private final RoutingContext context =
            new RoutingContext(TestDirector.settings(true, CacheStatusDetail.ALL), 1);

    private void update(EndpointSet endpoints, ListScope scope, List<Member> members) {
        endpoints.update(new MembersChanged(scope, members), (endpoint, startedUs) -> {});
    }

    /** Guards against the cost of lists with many caches: each change had the rings of all roles made anew. */
    @Test
    void changeElsewhereLeavesRingsAlone() {
        EndpointSet endpoints = new EndpointSet(context);
        endpoints.update(TestDirector.fullList(4), (endpoint, startedUs) -> {});
        List<Endpoint> caches = endpoints.caches().endpoints;
        List<Endpoint> parents = endpoints.parents().endpoints;
        update(endpoints, ListScope.CHANGES,
                List.of(new Member("elsewhere", 2, 0, 3, Availability.DRAINING, 8, 0)));
        assertThat(endpoints.caches().endpoints).isSameAs(caches);
        update(endpoints, ListScope.CHANGES,
                List.of(TestDirector.with(TestDirector.cache(1), Availability.DRAINING, 0)));
        assertThat(endpoints.caches().endpoints).hasSize(3);
        assertThat(endpoints.parents().endpoints).isSameAs(parents);
    }

    @Property(tries = 200)
    void changesGiveTheSameEndpointsAsAFullList(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EndpointSet changed = new EndpointSet(context);
        Map<String, Member> listed = new TreeMap<>();
        for (int step = 0; step < 60; step++) {
            boolean full = random.nextInt(10) == 0;
            List<Member> members = new ArrayList<>();
            for (int i = random.nextInt(1, 4); i > 0; i--) {
                members.add(member(random));
            }
            if (full) {
                listed.clear();
            }
            members.forEach(member -> listed.put(member.id(), member));
            update(changed, full ? ListScope.FULL : ListScope.CHANGES, members);
            EndpointSet fresh = new EndpointSet(context);
            update(fresh, ListScope.FULL, List.copyOf(listed.values()));
            assertSame(changed.caches(), fresh.caches(), random);
            assertSame(changed.parents(), fresh.parents(), random);
            assertThat(id(changed.origin())).isEqualTo(id(fresh.origin()));
        }
    }

    private static Member member(SplittableRandom random) {
        int id = random.nextInt(IDS);
        int kind = id < 2 ? TestDirector.ORIGIN : id < 4 ? TestDirector.PARENT : 0;
        return new Member("m-" + id, id % 5 == 0 ? 2 : LOCAL_ZONE, random.nextInt(20) == 0 ? 0 : kind, 0,
                Availability.values()[Math.max(0, random.nextInt(5) - 2)], random.nextInt(1, 4), 0);
    }

    private static void assertSame(EndpointRing changed, EndpointRing fresh, SplittableRandom random) {
        assertThat(changed.endpoints.stream().map(endpoint -> endpoint.id))
                .containsExactlyElementsOf(fresh.endpoints.stream().map(endpoint -> endpoint.id).toList());
        for (int i = 0; i < 20; i++) {
            long point = random.nextLong();
            assertThat(id(changed.hashRing.firstClockwise(point, endpoint -> true)))
                    .isEqualTo(id(fresh.hashRing.firstClockwise(point, endpoint -> true)));
        }
    }

    private static String id(Endpoint endpoint) {
        return endpoint == null ? null : endpoint.id;
    }
}
