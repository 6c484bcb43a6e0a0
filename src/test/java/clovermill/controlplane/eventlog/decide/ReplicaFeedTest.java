package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.eventlog.decide.EventLogMessage.Follow;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ReplicaFeedTest {

    private static final long SECOND = 1_000_000;
    private static final EventLogTiming TIMING = EventLogTiming.DEFAULT;
    private final EventLog log = new EventLog(new EventLog.Bounds(100_000, 4));
    private final long session = log.openSession();
    private long calls;

    private void append(int count) {
        log.assignId(5);
        for (int i = 0; i < count; i++) {
            log.append(session, ++calls, List.of(new Event(new Subject(Kind.OBJECT_PURGE, calls), calls)));
        }
    }

    private ReplicaFeed feed(ReplicaFeed.Bounds bounds) {
        return new ReplicaFeed(TIMING, bounds, log, 0);
    }

    private static Follow follow(long incarnation, long position, boolean wantsAnswer) {
        return new Follow(incarnation, 1, 5, position, wantsAnswer);
    }

    @Test
    void sendsAWindowToAFollowerThatDoesNotAcknowledgeWithoutDelayingOthers() {
        ReplicaFeed feed = feed(new ReplicaFeed.Bounds(1_000_000, 10_000_000, 4000, 10));
        append(1);
        feed.receive(1, follow(1, 0, false), 0);
        feed.receive(2, follow(2, 0, false), 0);
        long prompt = 0;
        int toSlow = 0;
        int batches = 0;
        for (long now = 0; now < 60 * SECOND; now += TIMING.batchIntervalUs()) {
            append(25);
            feed.receive(1, follow(1, 0, false), now); // reports, but its position never advances
            int slowNow = 0;
            for (ReplicaFeed.Push push : feed.tick(now)) {
                if (push.director() == 2) {
                    prompt = push.batch().range().to();
                    feed.receive(2, follow(2, prompt, false), now);
                } else {
                    slowNow += push.batch().bytes();
                    batches++;
                }
            }
            assertThat(slowNow).isLessThanOrEqualTo(4000 + 1400);
            toSlow += slowNow;
            assertThat(prompt).isEqualTo(log.head());
        }
        // Once by the timeout, while all events fitted the window, and then permanently by a full window.
        assertThat(feed.counts().fellBehind()).isEqualTo(2);
        assertThat(feed.catchingUpCount()).isEqualTo(1);
        assertThat(batches).isPositive();
        assertThat(toSlow).isLessThan(60 * 4 * 5400 / 3);
    }

    @Test
    void pacesAFollowerThatFallsBehindTheWindowUntilItHasCaughtUp() {
        ReplicaFeed feed = feed(new ReplicaFeed.Bounds(1_000_000, 10_000_000, 2000, 10));
        append(1);
        long position = 0;
        long now = 0;
        feed.receive(1, follow(1, 0, false), now);
        for (; now < 2 * SECOND; now += TIMING.batchIntervalUs()) {
            for (ReplicaFeed.Push push : feed.tick(now)) {
                position = push.batch().range().to();
                feed.receive(1, follow(1, position, false), now);
            }
        }
        assertThat(feed.catchingUpCount()).isZero();
        append(400);
        for (; now < 3 * SECOND; now += TIMING.batchIntervalUs()) {
            feed.tick(now);
            append(1);
        }
        assertThat(feed.catchingUpCount()).isEqualTo(1);
        assertThat(feed.counts().fellBehind()).isEqualTo(1);
        for (; now < 10 * SECOND; now += TIMING.batchIntervalUs()) {
            feed.receive(1, follow(1, position, false), now);
            for (ReplicaFeed.Push push : feed.tick(now)) {
                position = push.batch().range().from() <= position ? push.batch().range().to() : position;
                feed.receive(1, follow(1, position, false), now);
            }
        }
        assertThat(position).isEqualTo(log.head());
        assertThat(feed.catchingUpCount()).isZero();
    }

    @Test
    void sendsTheTruncatedPrefixToAFollowerBehindRetention() {
        append(20_000);
        ReplicaFeed feed = feed(ReplicaFeed.Bounds.DEFAULT);
        feed.receive(1, follow(1, 10, false), 0);
        LogRange first = feed.tick(0).get(0).batch().range();
        assertThat(first.truncatedPrefix()).isEqualTo(log.truncatedPrefix());
        assertThat(first.from()).isEqualTo(10);
        assertThat(first.completeAt()).isEqualTo(log.head());
    }

    @Test
    void sendsAFollowerNoMoreThanItsRateOverTenSeconds() {
        append(10_000);
        ReplicaFeed feed = feed(ReplicaFeed.Bounds.DEFAULT);
        Random random = new Random(4);
        long position = 0;
        long sent = 0;
        feed.receive(1, follow(1, 0, false), 0);
        for (long now = 0; now < 10 * SECOND; now += 10_000) {
            for (ReplicaFeed.Push push : feed.tick(now)) {
                sent += push.batch().bytes();
                position = random.nextInt(20) > 0 && push.batch().range().from() <= position
                        ? push.batch().range().to() : position;
            }
            ReplicaFeed.Push answer = feed.receive(1, follow(1, position, now % 400_000 == 0), now);
            sent += answer == null ? 0 : answer.batch().bytes();
        }
        assertThat(sent).isLessThanOrEqualTo(10 * 7000 + 7000 + 1400);
        assertThat(position).isPositive();
    }

    @Test
    void sendsAllFollowersNoMoreThanTheReplicasRateAndServesEach() {
        append(4000);
        ReplicaFeed feed = feed(new ReplicaFeed.Bounds(7000, 50_000, 16_000, 200));
        long[] positions = new long[100];
        long sent = 0;
        for (long now = 0; now < 20 * SECOND; now += TIMING.batchIntervalUs()) {
            for (int i = 0; i < positions.length; i++) {
                feed.receive(i, follow(i, positions[i], false), now);
            }
            for (ReplicaFeed.Push push : feed.tick(now)) {
                sent += push.batch().bytes();
                positions[push.director()] = Math.max(positions[push.director()], push.batch().range().to());
            }
        }
        assertThat(sent).isLessThanOrEqualTo(20 * 50_000 + 50_000 + 100 * 7000);
        assertThat(LongStream.of(positions).allMatch(each -> each > 0)).isTrue();
    }

    @Test
    void rejectsAFollowerBeyondTheLimitUntilAnotherExpires() {
        append(1);
        ReplicaFeed feed = feed(new ReplicaFeed.Bounds(7000, 50_000, 16_000, 2));
        assertThat(feed.receive(1, follow(1, 0, true), 0)).isNotNull();
        assertThat(feed.receive(2, follow(2, 0, true), 0)).isNotNull();
        assertThat(feed.receive(3, follow(3, 0, true), 0)).isNull();
        assertThat(feed.counts().rejected()).isEqualTo(1);
        feed.tick(6 * SECOND);
        assertThat(feed.receive(3, follow(3, 0, true), 6 * SECOND)).isNotNull();
        assertThat(feed.followerCount()).isEqualTo(1);
    }

    @Test
    void sendsNoEarlierEntriesToAFollowerAheadOfTheReplica() {
        append(5);
        ReplicaFeed feed = feed(ReplicaFeed.Bounds.DEFAULT);
        feed.receive(1, follow(1, 9, false), 0);
        assertThat(feed.tick(0)).isEmpty();
        append(6);
        assertThat(feed.tick(SECOND).get(0).batch().range().from()).isEqualTo(9);
    }

    /**
     * At 100 events a second, three directors followed a replica that was 5 s behind and did not catch up. It read the
     * head at the leader every 0.25 s and sent that proof to them, so they did not fail over, and were unproven from
     * 13 s on: position 222 of 575, own proof 5,280 ms old, the replica's proof 436 ms old.
     */
    @Test
    void sendsAProofOnceTheLogHasReachedItsHead() {
        ReplicaFeed feed = feed(ReplicaFeed.Bounds.DEFAULT);
        append(10);
        feed.headProven(10, 0);
        assertThat(feed.receive(1, follow(1, 0, true), SECOND).batch().provenHead()).isEqualTo(10);
        feed.headProven(14, SECOND);
        feed.headProven(16, 2 * SECOND);
        EventLogMessage.Batch behind = feed.receive(1, follow(1, 0, true), 3 * SECOND).batch();
        assertThat(behind.provenHead()).isEqualTo(10);
        assertThat(behind.proofAgeUs()).isEqualTo(3 * SECOND);
        append(5);
        EventLogMessage.Batch reached = feed.receive(1, follow(1, 0, true), 4 * SECOND).batch();
        assertThat(reached.provenHead()).isEqualTo(14);
        assertThat(reached.proofAgeUs()).isEqualTo(3 * SECOND);
    }

    @Test
    void boundsTheNumberOfPendingProofs() {
        ReplicaFeed feed = feed(ReplicaFeed.Bounds.DEFAULT);
        for (int i = 1; i <= 10_000; i++) {
            feed.headProven(i, i);
        }
        append(9_990);
        assertThat(feed.receive(1, follow(1, 0, true), 10_000).batch().provenHead()).isEqualTo(9_990);
        append(10);
        assertThat(feed.receive(1, follow(1, 0, true), 10_000).batch().provenHead()).isEqualTo(10_000);
    }
}
