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

    /** A process table with the start ticks of running processes, by pid. */
    private static final class FakeProcessTable implements ProcessTable {
        private final Map<Long, Long> ticks;

        FakeProcessTable(Map<Long, Long> ticks) {
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

    /** A successor waits for a newer list as long as its predecessor serves; alone it would wait in vain. */
    @Test
    void hasAPredecessorUntilThatExits() throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L, 3L, 300L));
        Path shared = folder.resolve("shared");
        ProcessRegistry one = new ProcessRegistry(shared, 1, 100, running);
        ProcessRegistry two = new ProcessRegistry(shared, 2, 200, running);
        assertThat(one.hasPredecessor()).as("the later process is not a predecessor").isFalse();
        assertThat(two.hasPredecessor()).isTrue();
        one.deregister();
        assertThat(two.hasPredecessor()).isFalse();
        ProcessRegistry three = new ProcessRegistry(shared, 3, 300, running);
        running.ticks.remove(2L); // killed without deleting its file
        assertThat(three.hasPredecessor()).isFalse();
        running.ticks.put(3L, 400L); // its pid is reused, its file is left
        assertThat(new ProcessRegistry(shared, 3, 400, running).hasPredecessor()).isFalse();
    }

    /** The process in service hands its endpoint list to a process that starts, not to one that serves or ends. */
    @Test
    void findsTheSuccessorThatStarts() throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, running);
        assertThat(one.findStartingSuccessor()).isEmpty();
        ProcessRegistry two = new ProcessRegistry(folder, 2, 200, running);
        assertThat(one.findStartingSuccessor()).hasValue(2);
        assertThat(two.findStartingSuccessor()).isEmpty();
        two.markReady(true, NOW_US);
        assertThat(one.findStartingSuccessor()).isEmpty();
    }

    @Test
    void findsTheOtherProcessUntilItExits() throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L));
        Path shared = folder.resolve("shared");
        ProcessRegistry one = new ProcessRegistry(shared, 1, 100, running);
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        ProcessRegistry two = new ProcessRegistry(shared, 2, 200, running);
        one.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
        assertThat(two.findOther()).as("the earlier process is not a successor").isEqualTo(OtherProcess.PRESENT);
        two.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        running.ticks.remove(2L); // killed without deleting its file
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        running.ticks.put(2L, 300L); // its pid is reused
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        ProcessRegistry three = new ProcessRegistry(shared, 2, 300, running);
        one.deregister();
        one.deregister();
        assertThat(three.findOther()).isEqualTo(OtherProcess.NONE);
    }

    /** A truncated file, or one of another version, counts as that of a process that is not ready. */
    @Test
    void processWithAMalformedFileIsNotASuccessor() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, new FakeProcessTable(Map.of(1L, 100L, 2L, 100L)));
        Files.writeString(folder.resolve("here-nobody"), "900 ready");
        assertThat(one.findOther()).isEqualTo(OtherProcess.NONE);
        for (String text : new String[] {"", "900", "ready", "x ready", "900 READY2",
            "900 ready x", "900 READY2 900"}) {
            Files.writeString(folder.resolve("here-2"), text);
            assertThat(one.findOther()).as(text).isEqualTo(OtherProcess.PRESENT);
        }
        for (String text : new String[] {"100 ready", "100 ready 100"}) {
            Files.writeString(folder.resolve("here-2"), text);
            assertThat(one.findOther()).as("of two processes with the same start ticks the higher pid").isEqualTo(
                    OtherProcess.SUCCESSOR);
        }
    }

    /** Guards against comparing start times of a wall clock that was stepped between the two starts. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void kernelTicksDetermineTheLaterProcess(long stepMs) throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry earlier = new ProcessRegistry(folder, 1, 1_700_000_000_000L, running);
        ProcessRegistry later = new ProcessRegistry(folder, 2, 1_700_000_000_000L + stepMs, running);
        earlier.markReady(true, NOW_US);
        later.markReady(true, NOW_US);
        assertThat(earlier.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        assertThat(later.findOther()).isEqualTo(OtherProcess.PRESENT);
        Files.writeString(folder.resolve("here-1"), "1700000000000 ready");
        assertThat(later.findOther()).as("earlier version, which writes no ticks")
                .isEqualTo(OtherProcess.PRESENT);
        Files.writeString(folder.resolve("here-2"), 1_700_000_000_000L + stepMs + " ready");
        assertThat(earlier.findOther()).as("earlier version that starts later")
                .isEqualTo(OtherProcess.SUCCESSOR);
    }

    /** An earlier version reads only the first two words. */
    @Test
    void fileIsReadableByEarlierVersions() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, new FakeProcessTable(Map.of(1L, 7L)));
        assertThat(Files.readString(folder.resolve("here-1")).split(" ")).startsWith("100", "starts");
        one.markReady(true, NOW_US);
        assertThat(Files.readString(folder.resolve("here-1")).split(" ")).containsExactly("100", "ready", "7");
    }

    /** The folder may be full for some seconds; unless the write is retried, the earlier process never hands over. */
    @Test
    void retriesAFailedWriteAfterTheRetryInterval() throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, running);
        ProcessRegistry two = new ProcessRegistry(folder, 2, 200, running);
        Path obstacle = Files.createDirectory(folder.resolve("new-here-2"));
        two.markReady(true, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
        Files.delete(obstacle);
        two.markReady(true, NOW_US + ProcessRegistry.RETRY_INTERVAL_US - 1);
        assertThat(one.findOther()).as("before the retry interval").isEqualTo(OtherProcess.PRESENT);
        two.markReady(true, NOW_US + ProcessRegistry.RETRY_INTERVAL_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.SUCCESSOR);
        Files.createDirectory(folder.resolve("new-here-2"));
        two.markReady(true, NOW_US + 2 * ProcessRegistry.RETRY_INTERVAL_US);
        assertThat(one.findOther()).as("no further write when already marked").isEqualTo(OtherProcess.SUCCESSOR);
    }

    @Test
    void processThatIsNoLongerReadyIsNotASuccessor() throws Exception {
        FakeProcessTable running = new FakeProcessTable(Map.of(1L, 100L, 2L, 200L));
        ProcessRegistry one = new ProcessRegistry(folder, 1, 100, running);
        ProcessRegistry two = new ProcessRegistry(folder, 2, 200, running);
        two.markReady(true, NOW_US);
        two.markReady(false, NOW_US);
        assertThat(one.findOther()).isEqualTo(OtherProcess.PRESENT);
    }

    @Test
    void parsesStartTicksAfterAnyCommandName() {
        String fields = "S 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 4711 20 21";
        assertThat(ProcessTable.Linux.parse("17 (java) " + fields)).hasValue(4711);
        assertThat(ProcessTable.Linux.parse("17 (a ) S 1 (b) " + fields)).hasValue(4711);
        assertThat(ProcessTable.Linux.parse("17 (java) S 1 2")).isEmpty();
        ProcessTable kernel = new ProcessTable.Linux();
        long self = ProcessHandle.current().pid();
        assertThat(kernel.startTicks(self).getAsLong()).isGreaterThanOrEqualTo(kernel.startTicks(1).getAsLong());
        assertThat(kernel.exists(self)).isTrue();
        assertThat(kernel.startTicks(Long.MAX_VALUE)).isEmpty();
    }

    /** Two processes at their limits, with the files of two JVMs, must fit the smallest limit of any deployment. */
    @Test
    void twoProcessesStayWithinTheDescriptorLimit() {
        DescriptorShares shares = new DescriptorShares(256);
        assertThat(2 * (shares.clientConnections(true) + shares.endpointConnections(true)) + 2 * 30)
                .isLessThanOrEqualTo(256);
        assertThat(shares.clientConnections(false) + shares.endpointConnections(false)).isEqualTo(192);
    }

    @Test
    void rejectsADescriptorThatIsNotThePassedSocket() throws Exception {
        assertThat(InheritedSocket.fromDescriptor(null)).isNull();
        assertThatThrownBy(() -> InheritedSocket.fromDescriptor("7")).isInstanceOf(IOException.class)
                .hasMessageContaining("BALANCER_PASSED_SOCKET=7");
    }
}
