package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.eventlog.decide.EventLog.AppendOutcome;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AppendClientTest {

    private static List<Event> events(long key) {
        return List.of(new Event(new Subject(Kind.OBJECT_PURGE, key), 1));
    }

    @Test
    void retriesACallAtOtherReplicasUntilItIsAnswered() {
        AppendClient appender = new AppendClient(List.of(0, 1, 2, 3), 9, 70);
        appender.offer(1, events(5), 0);
        assertThat(appender.tick(0)).isEqualTo(new AppendClient.Request(1, new EventLogMessage.OpenSession(70)));
        assertThat(appender.tick(1)).isNull();
        assertThat(appender.tick(300_000)).isEqualTo(new AppendClient.Request(2, new EventLogMessage.OpenSession(70)));
        appender.redirected(new EventLogMessage.Redirect(0), 300_001);
        assertThat(appender.tick(320_001)).isEqualTo(new AppendClient.Request(0, new EventLogMessage.OpenSession(70)));
        appender.sessionOpened(new EventLogMessage.SessionOpened(70, 4), 400_000);
        EventLogMessage.Append call = new EventLogMessage.Append(4, 1, events(5));
        assertThat(appender.tick(400_000)).isEqualTo(new AppendClient.Request(0, call));
        assertThat(appender.tick(700_000)).isEqualTo(new AppendClient.Request(1, call));
        EventLogMessage.AppendAnswer answer =
                new EventLogMessage.AppendAnswer(4, 1, new AppendResult(AppendOutcome.APPENDED, 3));
        assertThat(appender.answered(answer, 700_001)).isEqualTo(new AppendClient.CallResult(1, answer.result()));
        assertThat(appender.answered(answer, 700_002)).isNull();
        assertThat(appender.nextUs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void reportsAnExpiredSessionAndOpensAnotherForTheNextCall() {
        AppendClient appender = new AppendClient(List.of(0), 0, 70);
        appender.offer(1, events(5), 0);
        appender.offer(2, events(6), 0);
        appender.sessionOpened(new EventLogMessage.SessionOpened(70, 4), 0);
        EventLogMessage.AppendAnswer rejected =
                new EventLogMessage.AppendAnswer(4, 1, new AppendResult(AppendOutcome.SESSION_EXPIRED, 0));
        assertThat(appender.answered(rejected, 0).token()).isEqualTo(1);
        assertThat(appender.tick(0).message()).isEqualTo(new EventLogMessage.OpenSession(71));
    }

    @Test
    void rejectsEmptyAndTooLargeCallsAndCallsBeyondTheQueueLimit() {
        AppendClient appender = new AppendClient(List.of(0), 0, 70);
        assertThat(appender.offer(0, List.of(), 0)).isFalse();
        List<Event> large = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            large.addAll(events(i));
        }
        assertThat(appender.offer(0, large, 0)).isFalse();
        for (int i = 0; i < AppendClient.MAX_QUEUED_CALLS; i++) {
            assertThat(appender.offer(i, events(i), 0)).isTrue();
        }
        assertThat(appender.offer(99, events(1), 0)).isFalse();
    }

    /** Over a link that loses, duplicates and reorders messages, each call appends one event, in the order of calls. */
    @Property(tries = 200)
    void appendsOneEventForEachCall(@ForAll long seed) {
        Random random = new Random(seed);
        EventLog log = new EventLog(new EventLog.Bounds(100_000, 10));
        AppendClient appender = new AppendClient(List.of(0, 1), 0, 70);
        List<EventLogMessage> toLog = new ArrayList<>();
        List<EventLogMessage> toClient = new ArrayList<>();
        Set<Long> done = new HashSet<>();
        long offered = 0;
        for (long now = 0; now < 60_000_000 && done.size() < 20; now += 50_000) {
            if (offered < 20 && random.nextBoolean()) {
                appender.offer(++offered, events(offered), now);
            }
            AppendClient.Request request = appender.tick(now);
            if (request != null) {
                toLog.add(request.message());
            }
            if (!toLog.isEmpty() && random.nextInt(3) > 0) {
                EventLogMessage message = toLog.get(random.nextInt(toLog.size())); // may be old or repeated
                toClient.add(message instanceof EventLogMessage.OpenSession open
                        ? new EventLogMessage.SessionOpened(open.nonce(), log.openSession())
                        : answer(log, (EventLogMessage.Append) message));
            }
            if (!toClient.isEmpty() && random.nextInt(3) > 0) {
                EventLogMessage message = toClient.get(random.nextInt(toClient.size()));
                if (message instanceof EventLogMessage.SessionOpened opened) {
                    appender.sessionOpened(opened, now);
                } else {
                    AppendClient.CallResult result = appender.answered((EventLogMessage.AppendAnswer) message, now);
                    if (result != null && result.result().outcome() == AppendOutcome.APPENDED) {
                        assertThat(done.add(result.token())).isTrue();
                    } else if (result != null) {
                        done.add(result.token()); // finally rejected: at most one event, checked below
                    }
                }
            }
        }
        List<Long> keys = log.read(0, 1_000_000).entries().stream().map(each -> each.event().subject().key()).toList();
        assertThat(keys).doesNotHaveDuplicates().isSorted();
        assertThat(log.head()).isEqualTo(keys.size());
    }

    private static EventLogMessage answer(EventLog log, EventLogMessage.Append append) {
        return new EventLogMessage.AppendAnswer(append.session(), append.call(),
                log.append(append.session(), append.call(),
                        append.events()));
    }
}
