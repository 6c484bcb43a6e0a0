package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Sites whose requests have no size: the work of a request is learned from the hits of its class. Otherwise every
 * request would count as no work, so that a loaded cache would never hand over and responses would be late.
 */
class UnknownSizeTest {

    private static int requestCount;

    private static Request requestOfUnknownSize(long object) {
        return new Request(String.format("u%015x", ++requestCount), 0, 0, object, 0, 0, 0, 6_000_000, false);
    }

    /** Serves a hit of the given duration. */
    private static void serveHit(TestDirector director, long object, long elapsedUs) {
        List<Action> actions = director.handle(requestOfUnknownSize(object));
        SendVia sent = (SendVia) actions.get(0);
        director.nowUs += elapsedUs;
        director.handle(
                new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, elapsedUs, true, CacheStatus.HIT, 0,
                        null));
    }

    @Test
    void spreadsHotPartOfUnknownSizeOnceItsCacheIsLoaded() {
        TestDirector director = TestDirector.create();
        for (int i = 0; i < 30; i++) {
            serveHit(director, 77, 400_000);
        }
        Map<String, Integer> targets = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            if (director.handle(requestOfUnknownSize(77)).get(0) instanceof SendVia sent) {
                targets.merge(sent.member(), 1, Integer::sum);
            }
        }
        // Each hit takes 0.4 s of a target of 1.2 s: a cache of weight 8 serves about 14 in time. Unspread: 61 at one.
        assertThat(targets.values().stream().mapToInt(Integer::intValue).max().orElse(0)).isLessThanOrEqualTo(30);
        assertThat(targets).hasSizeGreaterThan(1);
    }
}
