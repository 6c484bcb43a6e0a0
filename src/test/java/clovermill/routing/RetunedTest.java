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

/** New settings while requests are open. */
class RetunedTest {

    private static Settings with(int attempts, List<RequestClass> classes) {
        Settings settings = Director.settings(true, CacheStatusDetail.ALL);
        HostCapabilities capabilities = settings.capabilities();
        return settings.with(classes,
                new HostCapabilities(capabilities.cacheBypass(), capabilities.fillJoining(),
                        capabilities.cancellation(), false, false,
                        false, attempts, capabilities.maxOpenRequests(), 0));
    }

    /** How often a read is sent of which every attempt fails, with other settings after the first. */
    private static int sends(int attemptsBefore, int attemptsAfter) {
        Director director = new Director(with(attemptsBefore, List.of(Director.READ)), 7);
        director.tell(Director.fleet(4));
        Request request = director.request(0, 11, 0);
        List<Action> actions = new ArrayList<>(director.tell(request));
        director.tell(new SettingsChanged(with(attemptsAfter, List.of(Director.READ))));
        int sent = 0;
        while (!actions.isEmpty()) {
            Action next = actions.remove(0);
            if (next instanceof SendVia via) {
                actions.addAll(director.answer(via, sent++, Result.MISS, CacheStatus.NONE, 1000));
            } else if (next instanceof SetTimer timer) {
                director.now += timer.delayUs();
                actions.addAll(director.tell(new TimerExpired(timer.token())));
            } else if (next instanceof Reject || next instanceof Fail) {
                return sent;
            }
        }
        return -1;
    }

    /** Neither the number of attempts at its beginning nor the present one may be passed. */
    @Test
    void anOpenRequestKeepsToTheLesserNumberOfAttempts() {
        assertThat(sends(3, 6)).isEqualTo(3);
        assertThat(sends(6, 2)).isEqualTo(2);
        assertThat(sends(4, 4)).isEqualTo(4);
    }

    @Test
    void anOpenRequestKeepsItsClassAndANewOneHasTheNewTerms() {
        Director director = new Director(with(6, List.of(Director.READ, Director.KEYED)), 7);
        director.tell(Director.fleet(4));
        Request open = director.request(1, 11, 0);
        Action sent = director.tell(open).get(0);
        director.tell(new SettingsChanged(with(6, List.of(Director.READ, Director.ONCE, Director.FRESH))));
        assertThat(sent).isInstanceOf(Send.class);
        String member = ((Send) sent).member();
        assertThat(director
                .tell(new AttemptEnded(open.id(), 0, member, Result.CONNECTION_LOST, 1000, false, CacheStatus.NONE,
                        0, null)))
                .as("a keyed one may be repeated").anyMatch(next -> next instanceof SendVia);
        Request later = director.request(1, 12, 0);
        assertThat(director.tell(later)).anyMatch(Send.class::isInstance);
        assertThat(director
                .tell(new AttemptEnded(later.id(), 0, member, Result.CONNECTION_LOST, 1000, false, CacheStatus.NONE,
                        0, null)))
                .as("one that runs at most once may not").anyMatch(Fail.class::isInstance);
        assertThat(director.tell(director.request(2, 13, 0))).as("a class that is new").isNotEmpty();
    }
}
