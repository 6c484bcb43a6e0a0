package clovermill.simulation.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.CloseIdle;
import clovermill.routing.api.Fail;
import clovermill.routing.api.FetchMembers;
import clovermill.routing.api.Log;
import clovermill.routing.api.Probe;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendPeerMessage;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.WatchMembers;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The line of each action in the protocol. */
class ActionWriterTest {

    private static final Map<Action, String> LINES = lines();

    private static Map<Action, String> lines() {
        Map<Action, String> lines = new LinkedHashMap<>();
        lines.put(new SendVia("r", "m", 5, "s", 2, 7, true, false, false, false), "SERVE_VIA 3 r m 5 s 2 7 1");
        lines.put(new SendVia("r", "m", 5, "s", 2, 7, false, true, true, true), "SERVE_VIA 3 r m 5 s 2 7 14");
        lines.put(new Send("r", "m", 5), "PASS_ON 3 r m 5");
        lines.put(new Cancel("r", 1), "CALL_OFF 3 r 1");
        lines.put(new Reject("r", 900), "SHED 3 r 900");
        lines.put(new Fail("r"), "FAIL 3 r");
        lines.put(new SetTimer(250, 9), "WAKE_ME 3 250 9");
        lines.put(new Probe("m"), "ASK_LOAD 3 m");
        lines.put(new CloseIdle("m"), "RELEASE 3 m");
        lines.put(new SendPeerMessage(-1, new byte[0]), "NOTIFY 3 all -");
        lines.put(new SendPeerMessage(4, new byte[] {104, 105, 32, 55}), "NOTIFY 3 4 aGkgNw==");
        lines.put(new WatchMembers(true), "OBSERVE 3 1");
        lines.put(new WatchMembers(false), "OBSERVE 3 0");
        lines.put(new FetchMembers(), "FETCH 3");
        lines.put(new Log("a line of text"), "NOTE_DOWN 3 a line of text");
        return lines;
    }

    @Test
    void writesEachActionAsOneLine() {
        ActionWriter writer = new ActionWriter();
        LINES.keySet().forEach(action -> writer.write(3, action));
        assertThat(writer.takeReply()).isEqualTo(String.join("\n", LINES.values()) + "\nYIELD\n");
        assertThat(writer.takeReply()).isEqualTo("YIELD\n");
    }

    @Test
    void coversEveryActionType() {
        assertThat(LINES.keySet()).extracting(Action::getClass).containsAll(Arrays.stream(Action.class
                .getPermittedSubclasses()).<Class<? extends Action>>map(each -> each.asSubclass(Action.class))
                .toList());
    }

    @Test
    void writesRouterFailureWithSourceLocation() {
        ActionWriter writer = new ActionWriter();
        IllegalStateException failure = new IllegalStateException("no ring");
        writer.writeFailure(3, failure);
        assertThat(writer.takeReply())
                .isEqualTo("DIE 3 java.lang.IllegalStateException: no ring at " + failure.getStackTrace()[0]
                        + "\nYIELD\n");
    }
}
