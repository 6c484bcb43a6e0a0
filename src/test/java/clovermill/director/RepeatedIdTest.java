package clovermill.director;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A request that must run at most once comes again under its id after its client has left. The first attempt may have
 * run, so that another would be a second run.
 */
class RepeatedIdTest {

    private static final String AT_MOST_ONCE = "send director HUP edit \"deduplicated\" -> \"at_most_once\"";
    private static final String HANDED_LIST = "send director HANDED {\"cursor\":1,\"confirmed_us_ago\":0,"
            + "\"cmds\":[{\"cursor\":1,\"nodes\":{\"full\":true,\"servers\":[{\"id\":\"o-1\","
            + "\"addr\":\"${o-1}\","
            + "\"zone\":\"north\",\"kind\":\"origin\",\"cell\":3,\"state\":\"ready\",\"weight\":1.0,"
            + "\"started_ms\":0}]}}],"
            + "\"purge_ages_us\":[]}";
    private static final String REQUEST =
            " request 1 class=order id=00000000000000b1 wait=3000 key=7f3a9c21e0b4d655 | two skips";

    private static void run(Scenario scenario, List<String> first, List<String> again) throws Exception {
        scenario.run(List.of("expect channel GET resume=1", "send channel {\"cursor\":1,\"cmds\":[]}", "wait 10",
                AT_MOST_ONCE, "send c1" + REQUEST, "expect o-1 want 00000000000000b1 kind=order | two skips"));
        scenario.run(first);
        scenario.run(again);
    }

    @Test
    void isFailedAtTheSameProcess() throws Exception {
        try (Scenario scenario = new Scenario(0)) {
            run(scenario, List.of("close c1 reset", "expect o-1 never_mind 00000000000000b1"),
                    List.of("send c2" + REQUEST, "expect c2 failed 1", "wait 500", "expect o-1 nothing"));
        }
    }

    /** The same of a request that was answered. */
    @Test
    void isFailedAtTheSameProcessAfterItsAnswer() throws Exception {
        try (Scenario scenario = new Scenario(0)) {
            run(scenario, List.of("send o-1 00000000000000b1 DONE made=5 | taken", "expect c1 served 1 | taken"),
                    List.of("send c2" + REQUEST, "expect c2 failed 1", "wait 500", "expect o-1 nothing"));
        }
    }

    @Test
    void isFailedAtTheNextProcessOfAnUpgrade() throws Exception {
        try (Scenario scenario = new Scenario(0, null, true)) {
            run(scenario, List.of("close c1 reset", "expect o-1 never_mind 00000000000000b1", "start director 0",
                    HANDED_LIST, "wait 110", AT_MOST_ONCE, "send op1 GET /ready", "expect op1 200",
                    "send director TERM", "wait 20"),
                    List.of("send c2" + REQUEST, "expect c2 failed 1", "wait 500", "expect o-1 nothing"));
        }
    }
}
