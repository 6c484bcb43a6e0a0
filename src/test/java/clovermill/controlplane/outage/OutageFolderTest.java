package clovermill.controlplane.outage;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OutageFolderTest {

    private final ManualClock clock = new ManualClock();

    @TempDir
    private Path folder;

    /** A process must read the marks of an earlier one at its first read. */
    @Test
    void processesReadEachOthersMarks() throws Exception {
        OutageFolder one = new OutageFolder(folder.resolve("shared"), clock::micros);
        one.disable("s-1");
        one.disable("../s 2");
        one.enable("s-1", 42);
        OutageFolder other = new OutageFolder(folder.resolve("shared"), clock::micros);
        assertThat(other.readIfChanged()).hasValue(new OutageSnapshot(Set.of("../s 2"), Map.of("s-1", 42L)));
        other.enable("../s 2", 43);
        one.disable("s-1");
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of("s-1", 42L, "../s 2", 43L)));
    }

    @Test
    void doesNotReadAnUnchangedFolderAgain() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.disable("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        assertThat(one.readIfChanged()).isPresent();
        assertThat(one.readIfChanged()).as("within the resolution of the folder's time").isPresent();
        clock.passMs(51);
        assertThat(one.readIfChanged()).isPresent();
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        clock.passMs(100);
        assertThat(one.readIfChanged()).isEmpty();
        clock.passMs(4_899);
        assertThat(one.readIfChanged()).isEmpty();
        clock.passMs(1);
        assertThat(one.readIfChanged()).as("after the maximum interval").isPresent();
        clock.passMs(100);
        assertThat(one.readIfChanged()).isEmpty();
        Files.writeString(folder.resolve("back-s-9"), "not a time");
        Files.writeString(folder.resolve("out-%zz"), "not an encoded id");
        assertThat(one.readIfChanged()).as("invalid files are only logged").isEmpty();
    }

    /** File times follow the wall clock: after it is stepped back, a change has an earlier time than the last read. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void readsMarksRecordedAfterAStepOfTheWallClock(long stepMs) throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        FileTime before = Files.getLastModifiedTime(folder);
        assertThat(one.readIfChanged().orElseThrow().disabledIds()).isEmpty();
        clock.passMs(100);
        one.readIfChanged();
        other.disable("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + stepMs));
        clock.passMs(100);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of()));
        clock.passMs(100);
        one.readIfChanged();
        other.enable("s-1", 42);
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + 1));
        clock.passMs(100);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of(), Map.of("s-1", 42L)));
    }

    /** The folder may be full or read-only. */
    @Test
    void marksThatCannotBeRecordedAreInForceInThisProcess() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.disable("s-1");
        Path obstacle = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.disable("s-2");
        one.enable("s-1", 42);
        assertThat(one.readIfChanged().orElseThrow().disabledIds()).containsExactly("s-2");
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged().orElseThrow().disabledIds())
                .as("read by the next process").isEmpty();
        Files.delete(obstacle);
        one.enable("s-2", 43);
        one.disable("s-1");
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of("s-2", 43L)));
    }

    /** Guards against the loss of a mark at a restart when the disk was full at the time of the call. */
    @Test
    void writesPendingMarksOnceTheFolderIsWritable() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.disable("s-1");
        Path obstacle = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.disable("s-2");
        one.enable("s-1", 42);
        assertThat(one.isRecorded("s-2")).isFalse();
        assertThat(one.isRecorded("s-1")).isFalse();
        clock.passMs(500);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).as("the folder is still not writable").isFalse();
        Files.delete(obstacle);
        clock.passMs(499);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).as("before the retry interval").isFalse();
        clock.passMs(1);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).isTrue();
        assertThat(one.isRecorded("s-1")).isTrue();
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged())
                .hasValue(new OutageSnapshot(Set.of("s-2"), Map.of("s-1", 42L)));
    }

    /**
     * During a handover a "disable" call gets status 503 at one process, as the folder cannot be written, and an
     * "enable" call then 200 at the other. If the first process retried its older mark, the cache would be disabled
     * again at both, contrary to the last successful call (docs/incidents/outage-undone.md).
     */
    @Test
    void olderPendingDisableDoesNotOverrideAnEnableOfTheOtherProcess() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        Path obstacle = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.disable("s-1");
        assertThat(one.isRecorded("s-1")).isFalse();
        Files.delete(obstacle);
        other.enable("s-1", 42);
        clock.passMs(500);
        one.retryPending();
        clock.passMs(100);
        assertThat(other.readIfChanged().orElseThrow().disabledIds()).isEmpty();
        assertThat(one.readIfChanged().orElseThrow().disabledIds()).isEmpty();
    }

    /** The reverse case: an "enable" call that got 503 must not override a later "disable" call that got 200. */
    @Test
    void olderPendingEnableDoesNotOverrideADisableOfTheOtherProcess() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        Path obstacle = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.enable("s-1", 42);
        assertThat(one.isRecorded("s-1")).isFalse();
        Files.delete(obstacle);
        other.disable("s-1");
        clock.passMs(500);
        one.retryPending();
        clock.passMs(100);
        assertThat(other.readIfChanged().orElseThrow().disabledIds()).containsExactly("s-1");
        assertThat(one.readIfChanged().orElseThrow().disabledIds()).containsExactly("s-1");
    }

    /** Guards against missing the other process's marks if reads fail and the folder's time then is unchanged. */
    @Test
    void readsTheFolderAgainAfterAFailedRead() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        FileTime unchanged = FileTime.fromMillis(1_000);
        new OutageFolder(folder, clock::micros).disable("s-1");
        Path unreadable = Files.createDirectory(folder.resolve("back-s-9"));
        Files.setLastModifiedTime(folder, unchanged);
        for (int i = 0; i < 3; i++) {
            assertThat(one.readIfChanged()).isEmpty();
            clock.passMs(100);
        }
        Files.delete(unreadable);
        Files.setLastModifiedTime(folder, unchanged);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of()));
    }

    /** The last call is in force: a pending "disable" must not be written after an "enable". */
    @Test
    void successfulEnableReplacesAPendingDisable() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        Path obstacle = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.disable("s-1");
        assertThat(one.tryEnable("s-1", 42)).isFalse();
        assertThat(one.isRecorded("s-1")).isFalse();
        assertThat(one.readIfChanged().orElseThrow().disabledIds()).as("after a failed enable call")
                .containsExactly("s-1");
        Files.delete(obstacle);
        assertThat(one.tryEnable("s-1", 43)).isTrue();
        clock.passMs(1_000);
        one.retryPending();
        assertThat(one.isRecorded("s-1")).isTrue();
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged())
                .hasValue(new OutageSnapshot(Set.of(), Map.of("s-1", 43L)));
    }

    /** A process that is killed between the two steps of an enable call leaves both marks. */
    @Test
    void cacheRemainsDisabledIfTheProcessIsKilledDuringAnEnableCall() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.disable("s-1");
        Files.writeString(folder.resolve("back-s-1"), "42");
        Files.writeString(folder.resolve("new-7"), "4");
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged().orElseThrow().disabledIds())
                .containsExactly("s-1");
    }

    @Test
    void enabledCacheCountsAsJustStarted() {
        OutageRegistry outages = new OutageRegistry();
        assertThat(outages.disable("s-1")).isTrue();
        assertThat(outages.disable("s-1")).isFalse();
        assertThat(outages.isDisabled("s-1")).isTrue();
        assertThat(outages.enable("s-1", 7_000, 500)).isTrue();
        assertThat(outages.enable("s-1", 7_100, 600)).isFalse();
        outages.mergeEnableCalls(Map.of("s-1", 7_000L), stamp -> 650);
        assertThat(outages.startedUs("s-1", 0)).as("same enable call again").isEqualTo(500);
        assertThat(outages.startedUs("s-1", 700)).isEqualTo(700);
        assertThat(outages.startedUs("s-2", 0)).isZero();
        outages.mergeEnableCalls(Map.of("s-1", 6_000L), stamp -> 400);
        assertThat(outages.startedUs("s-1", 0)).as("an enable call never moves the start back").isEqualTo(500);
        outages.mergeEnableCalls(Map.of("s-1", 3_000L), stamp -> 800);
        assertThat(outages.startedUs("s-1", 0)).as("further enable call after the wall clock was stepped back")
                .isEqualTo(800);
    }

    /** The recorded stamp may be that of an earlier enable call, if the last one could not be recorded. */
    @Test
    void repeatedlyEnabledCacheCountsAsJustStartedEvenWithTheSameStamp() {
        OutageRegistry outages = new OutageRegistry();
        outages.mergeEnableCalls(Map.of("s-1", 7_000L), stamp -> 500);
        outages.disable("s-1");
        assertThat(outages.enable("s-1", 7_000, 900)).isTrue();
        assertThat(outages.startedUs("s-1", 0)).isEqualTo(900);
    }
}
