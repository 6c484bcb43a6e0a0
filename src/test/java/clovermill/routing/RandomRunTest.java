package clovermill.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Fail;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.TimerExpired;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded runs of valid events: every request ends once, and nothing is sent after that or to a drained member. */
class RandomRunTest {

    private final TestDirector director = TestDirector.create();
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Set<String> drained = new HashSet<>();
    private final ArrayDeque<String[]> open = new ArrayDeque<>();
    private final ArrayDeque<Long> timers = new ArrayDeque<>();

    private void process(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof SendVia a) {
                recordAttempt(a.request(), a.member());
                assertFalse(drained.contains(a.source()));
            } else if (action instanceof Send a) {
                recordAttempt(a.request(), a.member());
            } else if (action instanceof Reject a) {
                assertTrue(ended.add(a.request()));
            } else if (action instanceof Fail a) {
                assertTrue(ended.add(a.request()));
            } else if (action instanceof SetTimer a) {
                timers.add(a.token());
            }
        }
    }

    private void recordAttempt(String request, String member) {
        assertFalse(ended.contains(request), "sent after the final response");
        assertFalse(drained.contains(member), "sent to a drained member");
        open.add(new String[] {request, Integer.toString(attemptCounts.merge(request, 1, Integer::sum) - 1), member});
    }

    private void endRandomAttempt(Random random) {
        String[] attempt = open.poll();
        Result result = random.nextInt(3) == 0 ? Result.values()[random.nextInt(Result.values().length)] : Result.OK;
        if (result == Result.OK) {
            ended.add(attempt[0]);
        }
        CacheStatus cacheStatus = result == Result.OK ? CacheStatus.HIT
                : CacheStatus.values()[random.nextInt(CacheStatus.values().length)];
        process(director.handle(new AttemptEnded(attempt[0], Integer.parseInt(attempt[1]), attempt[2], result, 50_000,
                result == Result.OK, cacheStatus, 0, null)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyRequestEndsExactlyOnce(long seed) {
        Random random = new Random(seed);
        int requests = 0;
        for (int step = 0; step < 5_000; step++) {
            director.nowUs += random.nextInt(20_000);
            int kind = random.nextInt(100);
            if (kind < 45) {
                requests++;
                Request request = director.request(random.nextInt(4), random.nextInt(50), random.nextInt(3));
                process(director.handle(request));
            } else if (kind < 90 && !open.isEmpty()) {
                endRandomAttempt(random);
            } else if (kind < 93) {
                process(director.handle(new Purge(random.nextBoolean() ? 7L : null, random.nextInt(32), 1_000)));
            } else if (kind < 95) {
                int cache = random.nextInt(4);
                boolean drain = drained.isEmpty();
                drained.clear();
                if (drain) {
                    drained.add("cache-" + cache);
                }
                process(director.handle(TestDirector.fullList(4)));
                process(director.handle(
                        new MembersChanged(ListScope.CHANGES, List.of(TestDirector.with(TestDirector.cache(cache),
                                drain ? Availability.DRAINING : Availability.HEALTHY, 0)))));
            } else if (!timers.isEmpty()) {
                process(director.handle(new TimerExpired(timers.poll())));
            }
        }
        while (!open.isEmpty() || !timers.isEmpty()) {
            director.nowUs += 100_000;
            if (!open.isEmpty()) {
                endRandomAttempt(random);
            } else {
                process(director.handle(new TimerExpired(timers.poll())));
            }
        }
        assertEquals(requests, ended.size());
    }
}
