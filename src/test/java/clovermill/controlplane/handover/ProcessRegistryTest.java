package clovermill.controlplane.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProcessRegistryTest {

    private static final long NOW_US = 1_700_000_000_000_000L;

    /** The start ticks of those that exist. */
    private static final class Processes implements ProcessTable {
        private final Map<Long, Long> ticks;

        Processes(Map<Long, Long> ticks) {
            this.ticks = new HashMap<>(ticks);
        }

        @Override
        public boolean exists(long pid) {
            return ticks.containsKey(pid);
        }

        @Override
        public OptionalLong startTicks(long pid) {
            return exists(pid) ? OptionalLong.of(ticks.get(pid)) : OptionalLong.empty();
        }
    }

    @TempDir
    private Path folder;

    @Test
    void processesFindEachOtherAndOneThatHasEndedIsForgotten() throws Exception {
        Processes running = new Processes(Map.of(1L, 100L, 2L, 200L));
        Path shared = folder.resolve("shared");
        ProcessRegistry one = new ProcessRegistry(shared, 1, 100, running);
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        ProcessRegistry two = new ProcessRegistry(shared, 2, 200, running);
        one.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
        assertThat(two.findOther()).as("the earlier one is no successor").isEqualTo(OtherProcess.PRESENT);
        two.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        running.ticks.remove(2L); // killed before the first was asked to leave, with its file left behind
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        running.ticks.put(2L, 300L); // its number is given out anew
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        ProcessRegistry three = new ProcessRegistry(shared, 2, 300, running);
        one.deregister();
        one.deregister();
        assertThat(three.findOther()).isEqualTo(OtherProcess.NONE);
    }

    /** A file of another version, or half of one, is taken for a process that is not ready. */
    @Test
    void whatCannotBeReadIsNoSuccessor() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, new Processes(Map.of(1L, 100L, 2L, 100L)));
        Files.writeString(folder.resolve("here-nobody"), "900 ready");
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        for (String text : new String[] {"", "900", "ready", "x ready", "900 READY2",
            "900 ready x", "900 READY2 900"}) {
            Files.writeString(folder.resolve("here-2"), text);
            assertThat(one.findOther()).as(text).isEqualTo(OtherProcess.PRESENT);
        }
        for (String text : new String[] {"100 ready", "100 ready 100"}) {
            Files.writeString(folder.resolve("here-2"), text);
            assertThat(one.findOther()).as("of two that start at once the higher number").isEqualTo(
                    OtherProcess.SUCCESSOR);
        }
    }

    /** The wall clock went back an hour between the two starts, or forward. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void theKernelAndNoWallClockDecidesWhoStartedLater(long stepMs) throws Exception {
        Processes running = new Processes(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry earlier = new ProcessRegistry(folder, 1, 1_700_000_000_000L, running);
        ProcessRegistry later = new ProcessRegistry(folder, 2, 1_700_000_000_000L + stepMs, running);
        earlier.markReady(true, NOW_US);
        later.markReady(true, NOW_US);
        assertThat(earlier.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        assertThat(later.findOther()).isEqualTo(OtherProcess.PRESENT);
        Files.writeString(folder.resolve("here-1"), "1700000000000 ready");
        assertThat(later.findOther()).as("an earlier version, which writes no ticks")
                .isEqualTo(OtherProcess.PRESENT);
        Files.writeString(folder.resolve("here-2"), 1_700_000_000_000L + stepMs + " ready");
        assertThat(earlier.findOther()).as("an earlier version that starts later")
                .isEqualTo(OtherProcess.SUCCESSOR);
    }

    /** An earlier version reads the first two words alone. */
    @Test
    void anEarlierVersionReadsTheMark() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, new Processes(Map.of(1L, 7L)));
        assertThat(Files.readString(folder.resolve("here-1")).split(" ")).startsWith("100", "starts");
        one.markReady(true, NOW_US);
        assertThat(Files.readString(folder.resolve("here-1")).split(" ")).containsExactly("100", "ready", "7");
    }

    /** A full folder, as ENOSPC lasts some seconds: without a mark the earlier process never hands over. */
    @Test
    void aMarkThatCannotBeWrittenIsTriedAgainAfterAPause() throws Exception {
        Processes running = new Processes(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, running);
        ProcessRegistry two = new ProcessRegistry(folder, 2, 200, running);
        Path inTheWay = Files.createDirectory(folder.resolve("new-here-2"));
        two.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
        Files.delete(inTheWay);
        two.markReady(true, NOW_US + ProcessRegistry.RETRY_INTERVAL_US - 1);
        assertThat(one.findOther()).as("within the pause").isEqualTo(OtherProcess.PRESENT);
        two.markReady(true, NOW_US + ProcessRegistry.RETRY_INTERVAL_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        Files.createDirectory(folder.resolve("new-here-2"));
        two.markReady(true, NOW_US + 2 * ProcessRegistry.RETRY_INTERVAL_US);
        assertThat(one.findOther()).as("what is marked is not marked again").isEqualTo(OtherProcess.SUCCESSOR);
    }

    @Test
    void aProcessThatIsNoLongerReadyIsNoSuccessor() throws Exception {
        Processes running = new Processes(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, running);
        ProcessRegistry two = new ProcessRegistry(folder, 2, 200, running);
        two.markReady(true, NOW_US);
        two.markReady(false, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
    }

    @Test
    void theKernelsTicksAreReadBehindACommandOfAnyName() {
        String numbers = "S 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 4711 20 21";
        assertThat(ProcessTable.Linux.parse("17 (java) " + numbers)).hasValue(4711);
        assertThat(ProcessTable.Linux.parse("17 (a ) S 1 (b) " + numbers)).hasValue(4711);
        assertThat(ProcessTable.Linux.parse("17 (java) S 1 2")).isEmpty();
        ProcessTable kernel = new ProcessTable.Linux();
        long self = ProcessHandle.current().pid();
        assertThat(kernel.startTicks(self).getAsLong()).isGreaterThanOrEqualTo(kernel.startTicks(1).getAsLong());
        assertThat(kernel.exists(self)).isTrue();
        assertThat(kernel.startTicks(Long.MAX_VALUE)).isEmpty();
    }

    /** Both processes at their bounds, and the files of two JVMs, fit the smallest limit of the deployment. */
    @Test
    void twoProcessesKeepWithinTheLimitOfOne() {
        DescriptorShares shares = new DescriptorShares(256);
        assertThat(2 * (shares.clientConnections(true) + shares.endpointConnections(true)) + 2 * 30)
                .isLessThanOrEqualTo(256);
        assertThat(shares.clientConnections(false) + shares.endpointConnections(false)).isEqualTo(192);
    }

    @Test
    void whatIsNoSocketOfThePlatformIsRefused() throws Exception {
        assertThat(InheritedSocket.take(null)).isNull();
        assertThatThrownBy(() -> InheritedSocket.take("7")).isInstanceOf(IOException.class)
                .hasMessageContaining("BALANCER_PASSED_SOCKET=7");
    }
}
