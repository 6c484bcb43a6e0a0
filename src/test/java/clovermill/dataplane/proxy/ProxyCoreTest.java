package clovermill.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.Fail;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.Reject;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.api.TimerExpired;
import clovermill.runtime.net.Body;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.ManualClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the core against the semantics that events have in the simulator. */
class ProxyCoreTest {

    private static final String ID = "00000000000000a1";
    private static final long WINDOW_US = 20_000;
    private static final RequestClass SAFE = new RequestClass(1000, 0, 100_000, 1, 0,
            Effect.IDEMPOTENT, KeyScope.ALL, 0, false, false, false, 0, 0, 0);
    private static final RequestClass KEYED = new RequestClass(1000, 0, 100_000, 1, 0,
            Effect.DEDUPLICATED, KeyScope.ALL, WINDOW_US, false, false,
            false, 0, 0, 0);
    private final ManualClock clock = new ManualClock(1000);
    private final Deadlines deadlines = new Deadlines();
    private final Budget budget = new Budget(100);
    private final List<Event> events = new ArrayList<>();
    private final Deque<List<Action>> replies = new ArrayDeque<>();
    private final List<AttemptOrder> orders = new ArrayList<>();
    private final List<AttemptListener> listeners = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Result immediateResult;
    private boolean mayHaveRun = true;

    private final ProxyCore core = new ProxyCore(new CacheRouter() {
        @Override
        public void handle(long at, Event event, Consumer<Action> out) {
            events.add(event);
            (replies.isEmpty() ? List.<Action>of() : replies.poll()).forEach(out);
        }
    }, new Settings(0, 1, 0, List.of(SAFE, KEYED), List.of(), List.of(), -1, -1, 0, false,
            SiblingScope.NONE, CacheStatusDetail.ALL, null, null, 0, 4000, 0, 0, 0, false, 0, 0, 0, 0,
            new HostCapabilities(true, true, true, true, true, false, 2, 10, 500_000)),
            clock, deadlines, new Upstream() {
                @Override
                public Exchange send(AttemptOrder order, AttemptListener listener) {
                    orders.add(order);
                    listeners.add(listener);
                    if (immediateResult != null) {
                        listener.ended(immediateResult, CacheStatus.NONE, 0, null);
                    }
                    return new Exchange() {
                        @Override
                        public boolean cancel() {
                            return mayHaveRun;
                        }

                        @Override
                        public boolean begun() {
                            return mayHaveRun;
                        }
                    };
                }

                @Override
                public void probe(String member, AttemptListener listener) {
                    listener.ended(Result.OK, CacheStatus.NONE, 0, null);
                }

                @Override
                public void closeIdle(String member) {}
            });

    private void submit(Action... reply) {
        submit(0, reply);
    }

    private void submit(int requestClass, Action... reply) {
        replies.add(List.of(reply));
        core.submit(new ClientRequest(ID, requestClass, "page", "7f3a9c21e0b4d655", 0, 0, 1, 100_000, false, null, null,
                new byte[0]),
                new ResponseHandler() {
                    @Override
                    public void served(UpstreamResponse response) {
                        answers.add("served");
                        response.body().close();
                    }

                    @Override
                    public void rejected(long afterMs) {
                        answers.add("rejected " + afterMs);
                    }

                    @Override
                    public void failed() {
                        answers.add("failed");
                    }
                });
    }

    private UpstreamResponse response() {
        assertThat(budget.tryReserve(10)).isTrue();
        return new UpstreamResponse(new Body(new byte[10], budget), false, "t");
    }

    private void advanceTo(long us) {
        clock.passUs(us - clock.micros());
        deadlines.sweep(us);
    }

    private AttemptEnded attemptEnded(int attempt, String member, Result result, long elapsedUs, boolean requestEnded) {
        return new AttemptEnded(ID, attempt, member, result, elapsedUs, requestEnded, CacheStatus.NONE, 0, null);
    }

    @Test
    void servesFirstOfTwoResponsesAndReportsBothOutcomes() {
        submit(new Send(ID, "a", 0), new Send(ID, "b", 0));
        clock.passUs(50);
        listeners.get(1).ended(Result.OK, CacheStatus.NONE, 0, response());
        listeners.get(0).ended(Result.OK, CacheStatus.NONE, 0, response());
        assertThat(answers).containsExactly("served");
        assertThat(events.subList(1, 3)).containsExactly(attemptEnded(1, "b", Result.OK, 50, true),
                attemptEnded(0, "a", Result.OK, 50, true));
        assertThat(budget.used()).isZero();
        assertThat(deadlines.size()).isZero();
    }

    @Test
    void limitsTimeoutToDeadlineAndAnswersClient() {
        submit(new Send(ID, "a", 5_000_000));
        assertThat(orders.get(0).timeoutUs()).isEqualTo(100_000);
        replies.add(List.of(new Fail(ID)));
        advanceTo(101_000);
        assertThat(events).contains(attemptEnded(0, "a", Result.TIMED_OUT, 100_000, false));
        assertThat(answers).containsExactly("failed");
    }

    /** Without this check a client without a copy would get an empty response. */
    @Test
    void failsAttemptThatReturnsNotModifiedToClientWithoutCopy() {
        submit(new Send(ID, "a", 0));
        assertThat(budget.tryReserve(10)).isTrue();
        listeners.get(0).ended(Result.OK, CacheStatus.HIT, 0,
                new UpstreamResponse(new Body(new byte[10], budget), true, "t"));
        assertThat(answers).isEmpty();
        assertThat(((AttemptEnded) events.get(1)).result()).isEqualTo(Result.ERROR);
        assertThat(budget.used()).isZero();
    }

    /** Only an attempt that was never sent is certain not to have run. */
    @Test
    void reportsUnsentAttemptAsConnectFailedAfterTimeout() {
        mayHaveRun = false;
        submit(new Send(ID, "a", 7000));
        advanceTo(8000);
        assertThat(events).contains(attemptEnded(0, "a", Result.CONNECT_FAILED, 7000, false));
    }

    /** Many cancellations at once must not make members look unreachable. */
    @Test
    void reportsUnsentAttemptAsNotSentAfterCancellation() {
        mayHaveRun = false;
        submit(new Send(ID, "a", 7000), new Cancel(ID, 0));
        assertThat(events).contains(attemptEnded(0, "a", Result.NOT_SENT, 0, false));
    }

    @Test
    void sendsNoAttemptAboveLimitOrAfterFinalAnswer() {
        submit(new Send(ID, "a", 0), new Send(ID, "b", 0), new Send(ID, "c", 0), new Reject(ID, 250_000),
                new Send(ID, "d", 0));
        assertThat(orders).hasSize(2);
        assertThat(answers).containsExactly("rejected 250");
        assertThat(events).contains(attemptEnded(2, "c", Result.NOT_SENT, 0, false),
                attemptEnded(3, "d", Result.NOT_SENT, 0, true));
    }

    @Test
    void endsCancelledAttemptOnce() {
        submit(new Send(ID, "a", 0), new Cancel(ID, 0), new Cancel(ID, 0));
        listeners.get(0).ended(Result.OK, CacheStatus.NONE, 0, response());
        assertThat(events.subList(1, events.size())).containsExactly(attemptEnded(0, "a", Result.CANCELLED, 0, false));
        assertThat(answers).isEmpty();
        assertThat(budget.used()).isZero();
    }

    /** The router gets the outcome after the current event, not during it. */
    @Test
    void deliversOutcomeOfImmediatelyEndedAttemptAsNewEvent() {
        immediateResult = Result.CONNECT_FAILED;
        replies.add(List.of(new Send(ID, "a", 0), new SetTimer(10, 7)));
        submit();
        assertThat(events).hasSize(2).last().isEqualTo(attemptEnded(0, "a", Result.CONNECT_FAILED, 0, false));
        advanceTo(2000);
        assertThat(events).last().isEqualTo(new TimerExpired(7));
    }

    @Test
    void failsRequestAfterDeadlineWhenRouterDoesNotAnswer() {
        submit();
        advanceTo(101_000 + 2000);
        assertThat(answers).containsExactly("failed");
        assertThat(events).last().isEqualTo(new RequestCancelled(ID));
    }

    @Test
    void sendsNoAnswerForCancelledRequest() {
        submit(new Send(ID, "a", 0));
        replies.add(List.of(new Reject(ID, 0)));
        core.cancelRequest(ID);
        listeners.get(0).ended(Result.OK, CacheStatus.NONE, 0, response());
        assertThat(answers).isEmpty();
        assertThat(events).last().isEqualTo(attemptEnded(0, "a", Result.OK, 0, true));
        assertThat(budget.used()).isZero();
    }

    @Test
    void failsRequestWithIdOfOpenRequest() {
        submit(new Send(ID, "a", 0));
        submit();
        assertThat(answers).containsExactly("failed");
        assertThat(events).hasSize(1);
    }

    /** The router need not cancel attempts; one that waits for its connection must not be sent. */
    @Test
    void abandonedAttemptMayNotBeginButMayContinueForLimitedTime() {
        submit(new Send(ID, "a", 0));
        assertThat(listeners.get(0).mayBegin()).isTrue();
        core.cancelRequest(ID);
        assertThat(listeners.get(0).mayBegin()).isFalse();
        assertThat(listeners.get(0).mayContinue()).isTrue();
        clock.passUs(50_000);
        assertThat(listeners.get(0).mayContinue()).isFalse();
    }

    /** A retry may wait for its connection or be partly written: its window counts from the first attempt. */
    @Test
    void retryMayNotBeginOrContinueAfterItsWindow() {
        submit(1, new Send(ID, "a", 0));
        replies.add(List.of(new Send(ID, "b", 0)));
        clock.passUs(1000);
        listeners.get(0).ended(Result.CONNECTION_LOST, CacheStatus.NONE, 0, null);
        clock.passUs(WINDOW_US - 1001);
        assertThat(listeners.get(1).mayBegin()).isTrue();
        assertThat(listeners.get(1).mayContinue()).isTrue();
        clock.passUs(1);
        assertThat(listeners.get(1).mayBegin()).isFalse();
        assertThat(listeners.get(1).mayContinue()).isFalse();
    }

    @Test
    void retryHasNoWindowIfFirstAttemptNeverRan() {
        submit(1, new Send(ID, "a", 0));
        replies.add(List.of(new Send(ID, "b", 0)));
        listeners.get(0).ended(Result.REJECTED, CacheStatus.NONE, 0, null);
        clock.passUs(WINDOW_US);
        assertThat(listeners.get(1).mayBegin()).isTrue();
    }

    @Test
    void rejectsRequestWithoutAttemptWhenClientHalfCloses() {
        submit();
        core.clientHalfClosed(ID);
        assertThat(answers).containsExactly("rejected 100");
        assertThat(events).last().isEqualTo(new RequestCancelled(ID));
    }

    @Test
    void startsNoFurtherAttemptAfterClientHalfCloses() {
        submit(new Send(ID, "a", 0));
        replies.add(List.of(new Cancel(ID, 0)));
        core.clientHalfClosed(ID);
        assertThat(answers).isEmpty();
        replies.add(List.of(new Send(ID, "b", 0)));
        listeners.get(0).ended(Result.ERROR, CacheStatus.NONE, 0, null);
        assertThat(answers).containsExactly("failed");
        assertThat(orders).hasSize(1);
    }

    @Test
    void cancelsQueuedAttemptWhenClientHalfCloses() {
        mayHaveRun = false;
        submit(new Send(ID, "a", 0));
        core.clientHalfClosed(ID);
        assertThat(answers).containsExactly("rejected 100");
        assertThat(events).last().isEqualTo(attemptEnded(0, "a", Result.NOT_SENT, 0, true));
    }

    /** A partly written attempt would otherwise arrive at the same time as the next one. */
    @Test
    void timedOutAttemptMayContinueForLimitedTime() {
        submit(new Send(ID, "a", 5000));
        replies.add(List.of(new Send(ID, "b", 0)));
        advanceTo(6000);
        assertThat(listeners.get(0).mayContinue()).isTrue();
        advanceTo(56_000);
        assertThat(listeners.get(0).mayContinue()).isFalse();
        assertThat(listeners.get(1).mayContinue()).isTrue();
    }
}
