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
        Presence one = new Presence(shared, 1, running::contains);
        assertThat(one.besideAnother()).isFalse();
        Presence two = new Presence(shared, 2, running::contains);
        assertThat(one.besideAnother()).isTrue();
        assertThat(two.besideAnother()).isTrue();
        one.leave();
        one.leave();
        assertThat(two.besideAnother()).isFalse();
        new Presence(shared, 1, running::contains);
        assertThat(two.besideAnother()).isTrue();
        running.remove(1L); // killed, with its file left behind
        assertThat(two.besideAnother()).isFalse();
        running.add(1L); // its number is given out anew
        assertThat(two.besideAnother()).isFalse();
        Files.writeString(shared.resolve("here-nobody"), "");
        assertThat(two.besideAnother()).isFalse();
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
