package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.eventlog.decide.EventLogMessage.Batch;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FollowerTest {

    private static final EventLogTiming TIMING = new EventLogTiming(400, 1000, 250, 250, 5000, 60_000, 0.01);
    private static final ReplicaFeed.Bounds FEED = new ReplicaFeed.Bounds(2_000_000_000L, 2_000_000_000L, 16_000, 10);

    /** A director's copy of the log, built from deliveries alone. */
    private static final class Held {
        private final Map<Subject, Entry> latest = new HashMap<>();
        private TruncatedPrefix prefix = TruncatedPrefix.NONE;
        private long last;

        void take(Delivery delivery) {
            if (delivery instanceof Delivery.Applied applied) {
                assertThat(applied.entry().sequence()).isGreaterThan(last);
                last = applied.entry().sequence();
                latest.put(applied.entry().event().subject(), applied.entry());
            } else if (delivery instanceof Delivery.Truncated truncated) {
                assertThat(truncated.prefix().sequence()).isGreaterThan(last);
                last = truncated.prefix().sequence();
                prefix = truncated.prefix();
            }
        }

        boolean covers(Entry entry) {
            Entry own = latest.get(entry.event().subject());
            return own != null && own.sequence() >= entry.sequence()
                    || prefix.sequence() >= entry.sequence()
                            && prefix.createdAtMs() >= entry.event().createdAtMs();
        }
    }

    private record InFlight(int from, Batch batch) {}

    private record Appended(Entry entry, long atUs) {}

    private static Batch batch(long requestId, LogRange range, long head, long ageUs) {
        return new Batch(77, requestId, 5, head, ageUs, range);
    }

    private static Entry entry(long sequence) {
        return new Entry(sequence, new Event(new Subject(Kind.OBJECT_PURGE, sequence), sequence));
    }

    private static LogRange range(long from, long to) {
        List<Entry> entries = new ArrayList<>();
        for (long at = from + 1; at <= to; at++) {
            entries.add(entry(at));
        }
        return new LogRange(from, to, to, null, entries);
    }

    private static Follower follower() {
        return new Follower(TIMING, 0, List.of(0, 1, 2, 3), 77, new Random(1), 0);
    }

    @Test
    void aGapIsNotAppliedUntilItIsFilledAndWhatOverlapsIsAppliedOnce() {
        Follower follower = follower();
        assertThat(follower.receive(0, batch(0, range(0, 3), -1, 0), 1)).hasSize(3);
        assertThat(follower.receive(0, batch(0, range(5, 6), -1, 0), 2)).isEmpty();
        assertThat(follower.position()).isEqualTo(3);
        assertThat(follower.receive(0, batch(0, range(2, 5), -1, 0), 3)).containsExactly(
                new Delivery.Applied(entry(4)), new Delivery.Applied(entry(5)), new Delivery.Applied(entry(6)));
        assertThat(follower.receive(2, batch(0, range(2, 5), -1, 0), 4)).isEmpty();
        assertThat(follower.receive(0, batch(0, range(5, 6), -1, 0), 5)).isEmpty();
        assertThat(follower.position()).isEqualTo(6);
        assertThat(follower.counts().gaps()).isEqualTo(1);
    }

    /**
     * A hundred events a second, fleet seed 17: a director lost one datagram and was unproven for 7.5 s. What came
     * behind the gap was thrown away, so the replica sent it all again after 0.75 s, two or more batches at once; where
     * one of these overtook the other, it was thrown away too: 52 events each second were applied of 100 that came.
     */
    @Test
    void batchesThatOvertakeEachOtherAreAllApplied() {
        Follower follower = follower();
        for (long from : new long[] {30, 10, 20, 5}) {
            assertThat(follower.receive(0, batch(0, range(from, from + 10), -1, 0), 1)).isEmpty();
        }
        assertThat(follower.receive(0, batch(0, range(0, 8), -1, 0), 2)).hasSize(40)
                .startsWith(new Delivery.Applied(entry(1))).endsWith(new Delivery.Applied(entry(40)));
        assertThat(follower.position()).isEqualTo(40);
    }

    @Test
    void batchesKeptForAnotherLogAreDropped() {
        Follower follower = follower();
        follower.receive(0, batch(0, range(5, 6), -1, 0), 1);
        follower.receive(0, new Batch(77, 0, 6, -1, 0, range(0, 5)), 2);
        assertThat(follower.position()).isEqualTo(5);
    }

    @Test
    void aBatchForAnotherStartOfTheDirectorIsIgnored() {
        Follower follower = follower();
        assertThat(follower.receive(0, new Batch(78, 0, 5, 3, 0, range(0, 3)), 1)).isEmpty();
        assertThat(follower.position()).isZero();
    }

    @Test
    void aSilentReplicaIsLeftForAnotherAndThePositionStays() {
        Follower follower = follower();
        follower.tick(0);
        follower.receive(0, batch(1, range(0, 3), 3, 0), 10);
        assertThat(follower.tick(1009)).isNotNull();
        assertThat(follower.replica()).isZero();
        Follower.Request request = follower.tick(1010);
        assertThat(request.replica()).isNotZero();
        assertThat(request.follow().position()).isEqualTo(3);
    }

    @Test
    void aReplicaThatAnswersWithoutANewProofIsLeft() {
        Follower follower = follower();
        for (long now = 0; now < 10_000; now += 100) {
            Follower.Request request = follower.tick(now);
            if (request != null && request.replica() == 0) {
                follower.receive(0, batch(request.follow().requestId(), range(0, 0), 0, now + 1000), now);
            }
        }
        assertThat(follower.replica()).isNotZero();
        assertThat(follower.freshness().proven(9_999)).isFalse();
    }

    @Test
    void whoWentToAnotherReplicaComesBackAfterAWhile() {
        Follower follower = follower();
        int before = follower.replica();
        boolean left = false;
        for (long now = 0; now < 200_000; now += 100) {
            Follower.Request request = follower.tick(now);
            boolean answers = request != null && (now > 5000 || request.replica() != before);
            if (answers) {
                follower.receive(request.replica(), batch(request.follow().requestId(), range(0, 0), 0, 0), now);
            }
            left |= follower.replica() != before;
        }
        assertThat(left).isTrue();
        assertThat(follower.replica()).isEqualTo(before);
    }

    @Test
    void anotherLogBeginsAnew() {
        Follower follower = follower();
        follower.tick(0);
        follower.receive(0, batch(1, range(0, 3), 3, 0), 10);
        assertThat(follower.freshness().proven(20)).isTrue();
        List<Delivery> deliveries = follower.receive(0, new Batch(77, 1, 6, -1, 0, range(0, 1)), 20);
        assertThat(deliveries).containsExactly(new Delivery.LogReplaced(6), new Delivery.Applied(entry(1)));
        assertThat(follower.freshness().proven(20)).isFalse();
    }

    /**
     * Three replicas that lag behind one log, links that lose, delay, repeat and reorder, a follower that jumps between
     * them: what it applied covers all up to its position when complete, and what it calls proven is.
     */
    @Property(tries = 300)
    void whatIsProvenIsHeldAndNothingIsAppliedTwiceOrBackwards(@ForAll long seed) {
        Random random = new Random(seed);
        EventLog.Bounds bounds = new EventLog.Bounds(300, 2);
        List<EventLog> logs = new ArrayList<>();
        List<ReplicaFeed> feeds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            logs.add(new EventLog(bounds));
            logs.get(i).assignId(5);
            logs.get(i).openSession();
            feeds.add(new ReplicaFeed(TIMING, FEED, logs.get(i), 0));
        }
        List<Appended> all = new ArrayList<>();
        int[] replicated = new int[3];
        Follower follower = new Follower(TIMING, random.nextInt(3), List.of(0, 1, 2), 77, random, 0);
        Held held = new Held();
        List<InFlight> flying = new ArrayList<>();
        int proven = 0;
        for (long now = 0; now < 40_000; now += 20) {
            if (random.nextInt(8) == 0) {
                long sequence = all.size() + 1L;
                all.add(new Appended(new Entry(sequence, new Event(new Subject(Kind.OBJECT_PURGE, random.nextInt(30)),
                        sequence)), now));
            }
            for (int i = 0; i < 3; i++) {
                boolean lags = now / 4000 % 3 == i;
                while (replicated[i] < all.size() && !lags && random.nextInt(4) > 0) {
                    Entry entry = all.get(replicated[i]++).entry();
                    logs.get(i).append(1, entry.sequence(), List.of(entry.event()));
                }
                if (!lags && random.nextInt(20) == 0) {
                    feeds.get(i).proven(all.size(), now);
                }
                for (ReplicaFeed.Push push : feeds.get(i).tick(now)) {
                    flying.add(new InFlight(i, push.batch()));
                }
            }
            Follower.Request request = follower.tick(now);
            if (request != null && random.nextInt(5) > 0) {
                ReplicaFeed.Push push = feeds.get(request.replica()).receive(9, request.follow(), now);
                if (push != null) {
                    flying.add(new InFlight(request.replica(), push.batch()));
                }
            }
            while (!flying.isEmpty() && random.nextInt(3) > 0) {
                int which = random.nextInt(flying.size());
                InFlight one = random.nextInt(10) == 0 ? flying.get(which) : flying.remove(which);
                if (random.nextInt(6) > 0) {
                    follower.receive(one.from(), one.batch(), now).forEach(held::take);
                }
            }
            if (follower.freshness().proven(now)) {
                proven++;
                for (Appended each : all) {
                    if (each.atUs() < now - TIMING.stalenessUs()) {
                        assertThat(held.covers(each.entry())).as("%s at %s", each, now).isTrue();
                    }
                }
            }
        }
        assertThat(proven).isPositive();
    }
}
