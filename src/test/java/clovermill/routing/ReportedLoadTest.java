package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.Settings;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Sites whose members report their load (centre-cache): what fellows have out is told, not guessed. */
class ReportedLoadTest {

    private static Director director(double linkKbPerS) {
        Settings s = Director.settings(false, CacheStatusDetail.HITS, 4);
        return new Director(
                new Settings(s.directorIndex(), s.directorCount(), s.zone(), s.classes(), s.directorsByZone(),
                        s.hubByZone(), s.parentKind(), s.originKind(), s.paceKbPerS(), s.weighted(), s.siblings(),
                        s.cacheStatusDetail(),
                        s.slowStart(), s.parentSlowStart(), s.drainGraceUs(), s.answerSlackUs(), s.purgeNoticeUs(),
                        s.purgeCompletionUs(),
                        s.dialTimeoutUs(), s.listOnRequest(), s.fetchMembersWithinUs(), s.originOverloadMultiple(),
                        s.originOverloadWindowUs(),
                        linkKbPerS, s.capabilities()),
                7);
    }

    private static SendVia ask(Director director, long object, LoadReport report) {
        if (!(director.tell(director.bigRequest(object)).get(0) instanceof SendVia sent)) {
            return null;
        }
        director.now += 510_000;
        director.tell(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 510_000, true, CacheStatus.HIT, 0,
                report));
        return sent;
    }

    @Test
    void aCacheThatFellowsLoadHandsOverThoughThisDirectorSendsItLittle() {
        Director director = director(0);
        director.tell(Director.fleet(4));
        String home = ask(director, 77, new LoadReport(60, 1, Double.NaN)).member(); // it holds 8 at full pace
        Map<String, Integer> targets = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            targets.merge(ask(director, 77, new LoadReport(0, 0, Double.NaN)).member(), 1, Integer::sum);
        }
        assertThat(targets).as("where the part goes while its home is reported full").doesNotContainKey(home);
    }

    @Test
    void aLinkThatIsReportedFullIsAskedForNoMoreFills() {
        Director director = director(20_000);
        director.tell(Director.fleet(4));
        assertThat(ask(director, 1, new LoadReport(1, 0, 0.1)).source()).startsWith("parent-");
        for (int i = 2; i < 6; i++) {
            ask(director, i, new LoadReport(1, 0, 6));
        }
        SendVia next = ask(director, 100, new LoadReport(1, 0, 6));
        assertThat(next.source()).as("only what the cache holds").isEqualTo(next.member());
    }

    @Test
    void theToldSizeOfTheLinkBindsBeforeAnythingIsLearned() {
        int[] fills = new int[2];
        for (int told = 0; told < 2; told++) {
            Director director = director(told * 4_000);
            director.tell(Director.fleet(4));
            for (int i = 0; i < 24; i++) {
                fills[told] += director.tell(director.bigRequest(i)).get(0) instanceof SendVia sent
                        && !sent.source().equals(sent.member()) ? 1 : 0;
            }
        }
        assertThat(fills[1]).as("fills at once over a link of four").isLessThan(fills[0]).isBetween(1, 12);
    }
}
