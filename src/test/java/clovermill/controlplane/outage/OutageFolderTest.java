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

    /** A process that starts later must find at its first read what an earlier one recorded. */
    @Test
    void anOutageThatOneProcessRecordsIsReadByTheOther() throws Exception {
        OutageFolder one = new OutageFolder(folder.resolve("shared"), clock::micros);
        one.takeOut("s-1");
        one.takeOut("../s 2");
        one.putBack("s-1", 42);
        OutageFolder other = new OutageFolder(folder.resolve("shared"), clock::micros);
        assertThat(other.readIfChanged()).hasValue(new OutageSnapshot(Set.of("../s 2"), Map.of("s-1", 42L)));
        other.putBack("../s 2", 43);
        one.takeOut("s-1");
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of("s-1", 42L, "../s 2", 43L)));
    }

    @Test
    void aFolderInWhichNothingChangedIsNotReadAgain() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        assertThat(one.readIfChanged()).isPresent();
        assertThat(one.readIfChanged()).as("the folder's time may be coarser than what changes").isPresent();
        clock.passMs(51);
        assertThat(one.readIfChanged()).isPresent();
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        clock.passMs(100);
        assertThat(one.readIfChanged()).isEmpty();
        clock.passMs(4_899);
        assertThat(one.readIfChanged()).isEmpty();
        clock.passMs(1);
        assertThat(one.readIfChanged()).as("read again in any case").isPresent();
        clock.passMs(100);
        assertThat(one.readIfChanged()).isEmpty();
        Files.writeString(folder.resolve("back-s-9"), "not a time");
        Files.writeString(folder.resolve("out-%zz"), "no name of ours");
        assertThat(one.readIfChanged()).as("junk costs a line in the log").isEmpty();
    }

    /** Files get the wall clock's times: after a step back each change looks older than the last read, for an hour. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void anOutageRecordedAfterAStepOfTheWallClockIsFoundAtTheNextRead(long stepMs) throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        FileTime before = Files.getLastModifiedTime(folder);
        assertThat(one.readIfChanged().orElseThrow().out()).isEmpty();
        clock.passMs(100);
        one.readIfChanged();
        other.takeOut("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + stepMs));
        clock.passMs(100);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of()));
        clock.passMs(100);
        one.readIfChanged();
        other.putBack("s-1", 42);
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + 1));
        clock.passMs(100);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of(), Map.of("s-1", 42L)));
    }

    /** A full or read-only folder: the call is in force in this process all the same. */
    @Test
    void anOutageThatCannotBeRecordedIsInForceInThisProcess() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.takeOut("s-2");
        one.putBack("s-1", 42);
        assertThat(one.readIfChanged().orElseThrow().out()).containsExactly("s-2");
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged().orElseThrow().out())
                .as("it is not recorded for the next process").isEmpty();
        Files.delete(inTheWay);
        one.putBack("s-2", 43);
        one.takeOut("s-1");
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of("s-2", 43L)));
    }

    /** A later start, of which no process runs yet, must find what a full disk kept from being written. */
    @Test
    void aPendingMarkIsWrittenOnceTheFolderCanBeWritten() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.takeOut("s-2");
        one.putBack("s-1", 42);
        assertThat(one.isRecorded("s-2")).isFalse();
        assertThat(one.isRecorded("s-1")).isFalse();
        clock.passMs(500);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).as("the folder still fails").isFalse();
        Files.delete(inTheWay);
        clock.passMs(499);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).as("not tried again at once").isFalse();
        clock.passMs(1);
        one.retryPending();
        assertThat(one.isRecorded("s-2")).isTrue();
        assertThat(one.isRecorded("s-1")).isTrue();
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged())
                .hasValue(new OutageSnapshot(Set.of("s-2"), Map.of("s-1", 42L)));
    }

    /**
     * During a handover an operator's "disable" is answered 503 at one process, as the folder cannot be written, and
     * "enable" then 200 at the other. The first process wrote its older mark as soon as it could, so that the cache was
     * out again at both, and after a kill, against the last call that was answered 200
     * (docs/incidents/outage-undone.md).
     */
    @Test
    void aReturnRecordedByTheOtherProcessIsNotUndoneByAnOlderOutageThatWasPending() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.takeOut("s-1");
        assertThat(one.isRecorded("s-1")).isFalse();
        Files.delete(inTheWay);
        other.putBack("s-1", 42);
        clock.passMs(500);
        one.retryPending();
        clock.passMs(100);
        assertThat(other.readIfChanged().orElseThrow().out()).isEmpty();
        assertThat(one.readIfChanged().orElseThrow().out()).isEmpty();
    }

    /** The same the other way round: a "disable" answered 200 is undone by an older "enable" answered 503. */
    @Test
    void anOutageRecordedByTheOtherProcessIsNotUndoneByAnOlderReturnThatWasPending() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.putBack("s-1", 42);
        assertThat(one.isRecorded("s-1")).isFalse();
        Files.delete(inTheWay);
        other.takeOut("s-1");
        clock.passMs(500);
        one.retryPending();
        clock.passMs(100);
        assertThat(other.readIfChanged().orElseThrow().out()).containsExactly("s-1");
        assertThat(one.readIfChanged().orElseThrow().out()).containsExactly("s-1");
    }

    /** A disk that fails for some looks, with the folder's time unchanged: what the other process marked counts. */
    @Test
    void afterAReadThatFailedTheFolderIsReadAtTheNextLook() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        FileTime unchanged = FileTime.fromMillis(1_000);
        new OutageFolder(folder, clock::micros).takeOut("s-1");
        Path unreadable = Files.createDirectory(folder.resolve("back-s-9"));
        Files.setLastModifiedTime(folder, unchanged);
        for (int look = 0; look < 3; look++) {
            assertThat(one.readIfChanged()).isEmpty();
            clock.passMs(100);
        }
        Files.delete(unreadable);
        Files.setLastModifiedTime(folder, unchanged);
        assertThat(one.readIfChanged()).hasValue(new OutageSnapshot(Set.of("s-1"), Map.of()));
    }

    /** The last call counts: an outage that waits to be written must not come after the return. */
    @Test
    void aReturnTakesThePlaceOfAnOutageThatWaitsToBeWritten() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.takeOut("s-1");
        assertThat(one.tryPutBack("s-1", 42)).isFalse();
        assertThat(one.isRecorded("s-1")).isFalse();
        assertThat(one.readIfChanged().orElseThrow().out()).as("a return that failed changes nothing")
                .containsExactly("s-1");
        Files.delete(inTheWay);
        assertThat(one.tryPutBack("s-1", 43)).isTrue();
        clock.passMs(1_000);
        one.retryPending();
        assertThat(one.isRecorded("s-1")).isTrue();
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged())
                .hasValue(new OutageSnapshot(Set.of(), Map.of("s-1", 43L)));
    }

    /** A process that is killed between the two steps of a return leaves both marks: the cache stays out. */
    @Test
    void aProcessThatIsKilledHalfwayLeavesTheCacheOut() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Files.writeString(folder.resolve("back-s-1"), "42");
        Files.writeString(folder.resolve("new-7"), "4");
        assertThat(new OutageFolder(folder, clock::micros).readIfChanged().orElseThrow().out()).containsExactly("s-1");
    }

    @Test
    void aCacheThatIsBackHasJustStarted() {
        OutageRegistry outages = new OutageRegistry();
        assertThat(outages.takeOut("s-1")).isTrue();
        assertThat(outages.takeOut("s-1")).isFalse();
        assertThat(outages.isOut("s-1")).isTrue();
        assertThat(outages.putBack("s-1", 7_000, 500)).isTrue();
        assertThat(outages.putBack("s-1", 7_100, 600)).isFalse();
        outages.mergeReturn("s-1", 7_000, 650);
        assertThat(outages.startedUs("s-1", 0)).as("the same return once more").isEqualTo(500);
        assertThat(outages.startedUs("s-1", 700)).isEqualTo(700);
        assertThat(outages.startedUs("s-2", 0)).isZero();
        outages.mergeReturn("s-1", 6_000, 400);
        assertThat(outages.startedUs("s-1", 0)).as("no return makes it older").isEqualTo(500);
        outages.mergeReturn("s-1", 3_000, 800);
        assertThat(outages.startedUs("s-1", 0)).as("a further return after the wall clock was stepped back")
                .isEqualTo(800);
    }

    /** The other process could not mark the return itself: the mark of an earlier one is still there. */
    @Test
    void aCacheThatIsBackAgainHasJustStartedWhateverItIsMarkedWith() {
        OutageRegistry outages = new OutageRegistry();
        outages.mergeReturn("s-1", 7_000, 500);
        outages.takeOut("s-1");
        assertThat(outages.putBack("s-1", 7_000, 900)).isTrue();
        assertThat(outages.startedUs("s-1", 0)).isEqualTo(900);
    }
}
