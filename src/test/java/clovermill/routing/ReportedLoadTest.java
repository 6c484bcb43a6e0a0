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

/** Sites whose members report their load (centre-cache), so that the load of other directors is known. */
class ReportedLoadTest {

    private static TestDirector director(double linkKbPerS) {
        Settings s = TestDirector.settings(false, CacheStatusDetail.HITS, 4);
        return new TestDirector(
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

    private static SendVia serveHit(TestDirector director, long object, LoadReport report) {
        if (!(director.handle(director.largeRequest(object)).get(0) instanceof SendVia sent)) {
            return null;
        }
        director.nowUs += 510_000;
        director.handle(new AttemptEnded(sent.request(), 0, sent.member(), Result.OK, 510_000, true, CacheStatus.HIT, 0,
                report));
        return sent;
    }

    @Test
    void handsOverFromCacheLoadedByOtherDirectors() {
        TestDirector director = director(0);
        director.handle(TestDirector.fullList(4));
        String home = serveHit(director, 77, new LoadReport(60, 1, Double.NaN)).member(); // capacity 8
        Map<String, Integer> targets = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            targets.merge(serveHit(director, 77, new LoadReport(0, 0, Double.NaN)).member(), 1, Integer::sum);
        }
        assertThat(targets).as("targets while the home of the part reports an overload").doesNotContainKey(home);
    }

    @Test
    void sendsNoFillsOverLinkReportedFull() {
        TestDirector director = director(20_000);
        director.handle(TestDirector.fullList(4));
        assertThat(serveHit(director, 1, new LoadReport(1, 0, 0.1)).source()).startsWith("parent-");
        for (int i = 2; i < 6; i++) {
            serveHit(director, i, new LoadReport(1, 0, 6));
        }
        SendVia next = serveHit(director, 100, new LoadReport(1, 0, 6));
        assertThat(next.source()).as("the cached copy only").isEqualTo(next.member());
    }

    @Test
    void limitsFillsByConfiguredLinkRate() {
        int[] fills = new int[2];
        for (int configured = 0; configured < 2; configured++) {
            TestDirector director = director(configured * 4_000);
            director.handle(TestDirector.fullList(4));
            for (int i = 0; i < 24; i++) {
                fills[configured] += director.handle(director.largeRequest(i)).get(0) instanceof SendVia sent
                        && !sent.source().equals(sent.member()) ? 1 : 0;
            }
        }
        assertThat(fills[1]).as("concurrent fills over a link with a capacity of four").isLessThan(fills[0])
                .isBetween(1, 12);
    }
}
