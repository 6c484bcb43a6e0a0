package clovermill.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.Fail;
import clovermill.routing.api.FetchMembers;
import clovermill.routing.api.Reject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ActionDispatcherTest {

    private final List<Action> failed = new ArrayList<>();
    private final List<Action> rejected = new ArrayList<>();
    private final ActionDispatcher dispatcher =
            new ActionDispatcher().on(Fail.class, failed::add).on(Reject.class, rejected::add);

    @Test
    void callsHandlerOfActionTypeOnce() {
        Action fail = new Fail("a");
        Action reject = new Reject("b", 1);
        dispatcher.dispatch(fail);
        dispatcher.dispatch(reject);
        assertThat(failed).containsExactly(fail);
        assertThat(rejected).containsExactly(reject);
    }

    @Test
    void ignoresActionWithoutHandler() {
        dispatcher.dispatch(new FetchMembers());
        assertThat(failed).isEmpty();
        assertThat(rejected).isEmpty();
    }
}
