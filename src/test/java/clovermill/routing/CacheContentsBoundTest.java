package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.CacheContentsIndex.PartEntry;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The index of parts stays within its bytes, and at the usual number of caches it gives up nothing. */
class CacheContentsBoundTest {

    private static final int USUAL_CACHES = 200;
    private static final int USUAL_PARTS = 30_000;
    private static final int REQUESTS_OF_A_PART = 4;
    /** The share of the heap that a director gives to the index is 1/n. */
    private static final int HEAP_DIVISOR = 4;
    /** The serial collector's young generation has a survivor space that does not count as heap. */
    private static final double USABLE_HEAP = 0.96;

    private final RoutingContext context =
            new RoutingContext(TestDirector.settings(true, CacheStatusDetail.ALL), 1);

    private static long deployedIndexBytes() throws IOException {
        Matcher heap = Pattern.compile("-Xmx(\\d+)m").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertThat(heap.find()).isTrue();
        return (long) (USABLE_HEAP * (Integer.parseInt(heap.group(1)) << 20)) / HEAP_DIVISOR;
    }

    private static Request request(long object) {
        return new Request("1", 0, 0, object, 0, 0, 100, 6_000_000, false);
    }

    /** Counts the passes of a walk from a random leaf to the root of a binary tree. */
    private void walk(CacheContentsIndex index, PartEntry entry, int caches) {
        for (int node = caches / 2 + context.random.nextInt(caches / 2); node > 0; node = (node - 1) / 2) {
            index.recordPass(entry, node);
        }
    }

    /** Guards against a bound in bytes that is too low for a director with the usual number of caches. */
    @Test
    void usualNumberOfCachesLosesNoPart() throws IOException {
        CacheContentsIndex index = new CacheContentsIndex(context, deployedIndexBytes());
        Endpoint home = new Endpoint("home", 0);
        Endpoint copy = new Endpoint("copy", 1);
        context.nowUs = 1_000_000;
        for (int request = 0; request < REQUESTS_OF_A_PART; request++) {
            for (long part = 0; part < USUAL_PARTS; part++) {
                walk(index, index.entryFor(request(part)), USUAL_CACHES);
                index.recordCopy(request(part), request == 0 ? copy : home, true);
            }
        }
        assertThat(index.size()).isEqualTo(USUAL_PARTS);
        assertThat(index.isCachedAt(index.entryFor(request(0)), home, request(0))).isTrue();
        assertThat(index.isCachedAt(index.entryFor(request(0)), copy, request(0))).isTrue();
    }

    /** Guards against the index that filled the heap with 3,200 caches: its parts were counted, not weighed. */
    @Property(tries = 30)
    void anySequenceStaysWithinBytes(@ForAll long seed, @ForAll @IntRange(min = 4, max = 3200) int caches) {
        long maxBytes = 400_000;
        CacheContentsIndex index = new CacheContentsIndex(context, maxBytes);
        SplittableRandom random = new SplittableRandom(seed);
        List<Endpoint> endpoints = new ArrayList<>();
        int numbers = 0;
        for (int i = 0; i < caches; i++) {
            endpoints.add(new Endpoint("c-" + i, numbers++));
        }
        for (int step = 0; step < 4_000; step++) {
            context.nowUs += random.nextInt(20_000);
            Request request = request(random.nextLong(1, 400) * random.nextLong(1, 40));
            Endpoint cache = endpoints.get(random.nextInt(caches));
            switch (random.nextInt(8)) {
                case 0 -> endpoints.set(random.nextInt(caches), new Endpoint("n-" + step, numbers++));
                case 1 -> index.recordPurge(new Purge(request.object(), 0, 0));
                case 2, 3 -> index.recordCopy(request, cache, random.nextInt(4) > 0);
                default -> walk(index, index.entryFor(request), caches);
            }
            assertThat(index.bytes()).isBetween(0L, maxBytes);
        }
    }

    /** Guards against copies that keep a cache's statistics in memory after the list has dropped the cache. */
    @Test
    void expiredCopiesTakeNoMemory() {
        CacheContentsIndex index = new CacheContentsIndex(context, Long.MAX_VALUE);
        context.nowUs = 1_000_000;
        index.entryFor(request(7));
        long empty = index.bytes();
        for (int cache = 0; cache < 3200; cache++) {
            index.recordCopy(request(7), new Endpoint("c-" + cache, cache), true);
        }
        assertThat(index.bytes()).isGreaterThan(empty + 3200 * 12);
        context.nowUs += 41_000_000;
        index.entryFor(request(7));
        assertThat(index.bytes()).isEqualTo(empty);
    }
}
