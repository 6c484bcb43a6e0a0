package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Fail;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SettingsChanged;
import clovermill.routing.api.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Changes of the settings while requests are open. */
class SettingsChangeTest {

    private static Settings settingsWith(int attempts, List<RequestClass> classes) {
        Settings settings = TestDirector.settings(true, CacheStatusDetail.ALL);
        HostCapabilities capabilities = settings.capabilities();
        return settings.with(classes,
                new HostCapabilities(capabilities.cacheBypass(), capabilities.fillJoining(),
                        capabilities.cancellation(), false, false,
                        false, attempts, capabilities.maxOpenRequests(), 0));
    }

    /** Returns the number of attempts of a read that all fail, if the settings change after the first one. */
    private static int countAttempts(int attemptsBefore, int attemptsAfter) {
        TestDirector director = new TestDirector(settingsWith(attemptsBefore, List.of(TestDirector.READ)), 7);
        director.handle(TestDirector.fullList(4));
        Request request = director.request(0, 11, 0);
        List<Action> actions = new ArrayList<>(director.handle(request));
        director.handle(new SettingsChanged(settingsWith(attemptsAfter, List.of(TestDirector.READ))));
        int sent = 0;
        while (!actions.isEmpty()) {
            Action next = actions.remove(0);
            if (next instanceof SendVia via) {
                actions.addAll(director.endAttempt(via, sent++, Result.MISS, CacheStatus.NONE, 1000));
            } else if (next instanceof SetTimer timer) {
                director.nowUs += timer.delayUs();
                actions.addAll(director.handle(new TimerExpired(timer.token())));
            } else if (next instanceof Reject || next instanceof Fail) {
                return sent;
            }
        }
        return -1;
    }

    /** Neither the attempt limit at the arrival of the request nor the current one may be exceeded. */
    @Test
    void limitsOpenRequestToLowerOfOldAndNewMaxAttempts() {
        assertThat(countAttempts(3, 6)).isEqualTo(3);
        assertThat(countAttempts(6, 2)).isEqualTo(2);
        assertThat(countAttempts(4, 4)).isEqualTo(4);
    }

    @Test
    void openRequestKeepsItsClassAndNewRequestUsesNewClass() {
        TestDirector director =
                new TestDirector(settingsWith(6, List.of(TestDirector.READ, TestDirector.DEDUPLICATED_WRITE)), 7);
        director.handle(TestDirector.fullList(4));
        Request open = director.request(1, 11, 0);
        Action sent = director.handle(open).get(0);
        director.handle(new SettingsChanged(settingsWith(6,
                List.of(TestDirector.READ, TestDirector.AT_MOST_ONCE_WRITE, TestDirector.READ_WITH_FRESH_TIME))));
        assertThat(sent).isInstanceOf(Send.class);
        String member = ((Send) sent).member();
        assertThat(director
                .handle(new AttemptEnded(open.id(), 0, member, Result.CONNECTION_LOST, 1000, false, CacheStatus.NONE,
                        0, null)))
                .as("a deduplicated request may be retried").anyMatch(next -> next instanceof SendVia);
        Request later = director.request(1, 12, 0);
        assertThat(director.handle(later)).anyMatch(Send.class::isInstance);
        assertThat(director
                .handle(new AttemptEnded(later.id(), 0, member, Result.CONNECTION_LOST, 1000, false, CacheStatus.NONE,
                        0, null)))
                .as("an at-most-once request may not be retried").anyMatch(Fail.class::isInstance);
        assertThat(director.handle(director.request(2, 13, 0))).as("a new class").isNotEmpty();
    }
}
