package clovermill.upgrade;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PresenceTest {

    @TempDir
    private Path folder;

    @Test
    void processesSeeEachOtherAndWhoHasEndedIsForgotten() throws Exception {
        Set<Long> running = new HashSet<>(Set.of(1L, 2L));
        Path shared = folder.resolve("shared");
        Presence one = new Presence(shared, 1, 100, running::contains);
        assertThat(one.look()).isEqualTo(Presence.Others.NONE);
        Presence two = new Presence(shared, 2, 200, running::contains);
        one.ready();
        assertThat(one.look()).isEqualTo(Presence.Others.BESIDE);
        assertThat(two.look()).as("the earlier one is no successor").isEqualTo(Presence.Others.BESIDE);
        two.ready();
        assertThat(one.look()).isEqualTo(Presence.Others.SUCCESSOR);
        running.remove(2L); // killed before the first was asked to leave, with its file left behind
        assertThat(one.look()).isEqualTo(Presence.Others.NONE);
        running.add(2L); // its number is given out anew
        assertThat(one.look()).isEqualTo(Presence.Others.NONE);
        Presence three = new Presence(shared, 2, 300, running::contains);
        one.leave();
        one.leave();
        assertThat(three.look()).isEqualTo(Presence.Others.NONE);
    }

    /** A file of another version, or half of one, is taken for a process that is not ready. */
    @Test
    void whatCannotBeReadIsNoSuccessor() throws Exception {
        Presence one = new Presence(folder, 1, 100, pid -> true);
        Files.writeString(folder.resolve("here-nobody"), "900 ready");
        assertThat(one.look()).isEqualTo(Presence.Others.NONE);
        for (String text : new String[] {"", "900", "ready", "x ready", "900 READY2"}) {
            Files.writeString(folder.resolve("here-2"), text);
            assertThat(one.look()).as(text).isEqualTo(Presence.Others.BESIDE);
        }
        Files.writeString(folder.resolve("here-2"), "100 ready");
        assertThat(one.look()).as("of two that start at once the higher number").isEqualTo(Presence.Others.SUCCESSOR);
    }

    /** Both processes at their bounds, and the files of two JVMs, fit the smallest limit of the deployment. */
    @Test
    void twoProcessesKeepWithinTheLimitOfOne() {
        Shares shares = new Shares(256);
        assertThat(2 * (shares.clients(true) + shares.members(true)) + 2 * 30).isLessThanOrEqualTo(256);
        assertThat(shares.clients(false) + shares.members(false)).isEqualTo(192);
    }

    @Test
    void whatIsNoSocketOfThePlatformIsRefused() throws Exception {
        assertThat(PassedSocket.take(null)).isNull();
        assertThatThrownBy(() -> PassedSocket.take("7")).isInstanceOf(IOException.class)
                .hasMessageContaining("BALANCER_PASSED_SOCKET=7");
    }
}
