package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.eventlog.decide.EventLog.AppendOutcome;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The log against a plain one that keeps everything. */
class EventLogTest {

    private record Call(long session, long call) {}

    private static Event event(long key, long createdAtMs) {
        return new Event(new Subject(Kind.OBJECT_PURGE, key), createdAtMs);
    }

    /** Checks that a range covers all events of its range, and names when what replaced the others is seen. */
    static void assertCovers(LogRange range, List<Entry> all) {
        for (Entry each : all) {
            if (each.sequence() <= range.from() || each.sequence() > range.to()) {
                continue;
            }
            TruncatedPrefix prefix = range.truncatedPrefix();
            boolean cleared = prefix != null && each.sequence() <= prefix.sequence()
                    && each.event().createdAtMs() <= prefix.createdAtMs();
            boolean replaced = all.stream().anyMatch(later -> later.sequence() > each.sequence()
                    && later.sequence() <= range.completeAt()
                    && later.event().subject().equals(each.event().subject()));
            boolean there = range.entries().stream().anyMatch(entry -> entry.sequence() == each.sequence()
                    && entry.event().subject().equals(each.event().subject())
                    && entry.event().createdAtMs() >= each.event().createdAtMs());
            assertThat(there || replaced || cleared).as("%s in %s", each, range).isTrue();
        }
    }

    @Property(tries = 300)
    void eachEventHasOneNumberAndEachRangeCoversIt(@ForAll long seed,
            @ForAll @IntRange(min = 20, max = 400) int retentionBytes) {
        Random random = new Random(seed);
        EventLog log = new EventLog(new EventLog.Bounds(retentionBytes, 3));
        List<Entry> all = new ArrayList<>();
        Map<Call, AppendResult> answers = new HashMap<>();
        long sessions = 0;
        for (int step = 0; step < 120; step++) {
            if (sessions == 0 || random.nextInt(15) == 0) {
                assertThat(log.openSession()).isEqualTo(++sessions);
            }
            Call call = new Call(1 + random.nextInt((int) sessions), random.nextInt(30));
            Event event = event(random.nextInt(12), random.nextInt(1000));
            long before = log.head();
            AppendResult answer = log.append(call.session(), call.call(), List.of(event));
            if (log.head() > before) {
                assertThat(answer).isEqualTo(new AppendResult(AppendOutcome.APPENDED, before + 1));
                assertThat(answers).doesNotContainKey(call);
                answers.put(call, answer);
                all.add(new Entry(before + 1, event));
            } else if (answer.outcome() == AppendOutcome.APPENDED && call.call() > 0) {
                assertThat(answer).isEqualTo(answers.get(call));
            }
            assertThat(log.bytes()).isLessThanOrEqualTo(retentionBytes);
            assertThat(log.sessionCount()).isLessThanOrEqualTo(3);
        }
        assertThat(log.bytes()).isEqualTo(log.entries().stream().mapToLong(each -> each.event().bytes()).sum());
        for (long from = 0; from <= log.head(); from++) {
            LogRange range = log.read(from, 1 + random.nextInt(200));
            assertThat(range.to()).isBetween(from + (from < log.head() ? 1 : 0), log.head());
            assertThat(range.completeAt()).isBetween(range.to(), log.head());
            assertCovers(range, all);
        }
    }

    @Property(tries = 100)
    void aSnapshotIsTheLogAndGoesOnLikeIt(@ForAll long seed) {
        Random random = new Random(seed);
        EventLog log = new EventLog(new EventLog.Bounds(150, 2));
        EventLog copy = new EventLog(new EventLog.Bounds(150, 2));
        log.assignId(5);
        log.openSession();
        log.openSession();
        for (int i = 1; i < 40; i++) {
            log.append(1 + random.nextInt(2), i, List.of(event(random.nextInt(9), i)));
        }
        copy.restore(log.state(), log.entries(), log.openSessions());
        assertThat(copy).isEqualTo(log);
        for (int i = 40; i < 80; i++) {
            long session = 1L + random.nextInt(3);
            Event event = event(random.nextInt(9), i);
            assertThat(copy.append(session, i, List.of(event))).isEqualTo(log.append(session, i, List.of(event)));
        }
        assertThat(copy).isEqualTo(log);
        assertThat(copy.bytes()).isEqualTo(log.bytes());
    }

    @Test
    void theSameEventAskedForTwiceIsOneEvent() {
        EventLog log = new EventLog(new EventLog.Bounds(1000, 4));
        long session = log.openSession();
        AppendResult first = log.append(session, 1, List.of(event(7, 1), event(8, 1)));
        assertThat(log.append(session, 1, List.of(event(7, 1), event(8, 1)))).isEqualTo(first);
        assertThat(log.head()).isEqualTo(2);
    }

    @Test
    void aSessionThatWasDroppedIsRefusedAndNotTakenForNew() {
        EventLog log = new EventLog(new EventLog.Bounds(1000, 1));
        long first = log.openSession();
        log.append(first, 1, List.of(event(7, 1)));
        log.openSession();
        assertThat(log.append(first, 1, List.of(event(7, 1))).outcome()).isEqualTo(AppendOutcome.SESSION_EXPIRED);
        assertThat(log.append(first, 2, List.of(event(7, 1))).outcome()).isEqualTo(AppendOutcome.SESSION_EXPIRED);
        assertThat(log.head()).isEqualTo(1);
    }

    @Test
    void aCallThatCameLateIsNotAppended() {
        EventLog log = new EventLog(new EventLog.Bounds(1000, 1));
        long session = log.openSession();
        log.append(session, 2, List.of(event(7, 1)));
        assertThat(log.append(session, 1, List.of(event(9, 1))).outcome()).isEqualTo(AppendOutcome.OUTDATED);
        assertThat(log.head()).isEqualTo(1);
    }

    @Test
    void theLaterEventOfASubjectKeepsTheLaterTime() {
        EventLog log = new EventLog(new EventLog.Bounds(1000, 1));
        long session = log.openSession();
        log.append(session, 1, List.of(event(7, 500), event(7, 400)));
        assertThat(log.read(0, 1000).entries()).containsExactly(new Entry(2, event(7, 500)));
        assertThat(log.read(0, 1000).completeAt()).isEqualTo(2);
    }
}
