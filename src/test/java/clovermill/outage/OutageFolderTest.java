package clovermill.outage;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.net.ManualClock;
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

    /** A process that starts later must know at its first look what an earlier one was told. */
    @Test
    void whatOneProcessMarksTheOtherSees() throws Exception {
        OutageFolder one = new OutageFolder(folder.resolve("shared"), clock::micros);
        one.takeOut("s-1");
        one.takeOut("../s 2");
        one.putBack("s-1", 42);
        OutageFolder other = new OutageFolder(folder.resolve("shared"), clock::micros);
        assertThat(other.look()).isEqualTo(new OutageFolder.Marks(Set.of("../s 2"), Map.of("s-1", 42L)));
        other.putBack("../s 2", 43);
        one.takeOut("s-1");
        assertThat(one.look()).isEqualTo(new OutageFolder.Marks(Set.of("s-1"), Map.of("s-1", 42L, "../s 2", 43L)));
    }

    @Test
    void aFolderInWhichNothingChangedIsNotReadAgain() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        assertThat(one.look()).isNotNull();
        assertThat(one.look()).as("the folder's time may be coarser than what changes").isNotNull();
        clock.passMillis(51);
        assertThat(one.look()).isNotNull();
        Files.setLastModifiedTime(folder, FileTime.fromMillis(1_000));
        clock.passMillis(100);
        assertThat(one.look()).isNull();
        clock.passMillis(4_899);
        assertThat(one.look()).isNull();
        clock.passMillis(1);
        assertThat(one.look()).as("read again in any case").isNotNull();
        clock.passMillis(100);
        assertThat(one.look()).isNull();
        Files.writeString(folder.resolve("back-s-9"), "not a time");
        Files.writeString(folder.resolve("out-%zz"), "no name of ours");
        assertThat(one.look()).as("junk costs a line in the log").isNull();
    }

    /** Files get the wall clock's times: after a step back each change looks older than the last read, for an hour. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -5_000, 5_000, 3_600_000})
    void whatIsMarkedAfterAStepOfTheWallClockIsSeenAtTheNextLook(long stepMs) throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        OutageFolder other = new OutageFolder(folder, clock::micros);
        FileTime before = Files.getLastModifiedTime(folder);
        assertThat(one.look().out()).isEmpty();
        clock.passMillis(100);
        one.look();
        other.takeOut("s-1");
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + stepMs));
        clock.passMillis(100);
        assertThat(one.look()).isEqualTo(new OutageFolder.Marks(Set.of("s-1"), Map.of()));
        clock.passMillis(100);
        one.look();
        other.putBack("s-1", 42);
        Files.setLastModifiedTime(folder, FileTime.fromMillis(before.toMillis() + 1));
        clock.passMillis(100);
        assertThat(one.look()).isEqualTo(new OutageFolder.Marks(Set.of(), Map.of("s-1", 42L)));
    }

    /** A full or read-only folder: what was called for must hold in this process all the same. */
    @Test
    void whatCannotBeMarkedHoldsInThisProcess() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Path inTheWay = Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
        one.takeOut("s-2");
        one.putBack("s-1", 42);
        assertThat(one.look().out()).containsExactly("s-2");
        assertThat(new OutageFolder(folder, clock::micros).look().out()).as("the next one was not told").isEmpty();
        Files.delete(inTheWay);
        one.putBack("s-2", 43);
        one.takeOut("s-1");
        assertThat(one.look()).isEqualTo(new OutageFolder.Marks(Set.of("s-1"), Map.of("s-2", 43L)));
    }

    /** A process that is killed between the two steps of a return leaves both marks: the cache stays out. */
    @Test
    void aProcessThatIsKilledHalfwayLeavesTheCacheOut() throws Exception {
        OutageFolder one = new OutageFolder(folder, clock::micros);
        one.takeOut("s-1");
        Files.writeString(folder.resolve("back-s-1"), "42");
        Files.writeString(folder.resolve("new-7"), "4");
        assertThat(new OutageFolder(folder, clock::micros).look().out()).containsExactly("s-1");
    }

    @Test
    void aCacheThatIsBackHasJustStarted() {
        Outages outages = new Outages();
        assertThat(outages.takeOut("s-1")).isTrue();
        assertThat(outages.takeOut("s-1")).isFalse();
        assertThat(outages.isOut("s-1")).isTrue();
        assertThat(outages.putBack("s-1", 7_000, 500)).isTrue();
        assertThat(outages.putBack("s-1", 7_100, 600)).isFalse();
        outages.returned("s-1", 7_000, 650);
        assertThat(outages.startedUs("s-1", 0)).as("the same return told again").isEqualTo(500);
        assertThat(outages.startedUs("s-1", 700)).isEqualTo(700);
        assertThat(outages.startedUs("s-2", 0)).isZero();
        outages.returned("s-1", 6_000, 400);
        assertThat(outages.startedUs("s-1", 0)).as("no return makes it older").isEqualTo(500);
        outages.returned("s-1", 3_000, 800);
        assertThat(outages.startedUs("s-1", 0)).as("a further return after the wall clock was stepped back")
                .isEqualTo(800);
    }

    /** The other process could not mark the return itself: the mark of an earlier one is still there. */
    @Test
    void aCacheThatIsBackAgainHasJustStartedWhateverItIsMarkedWith() {
        Outages outages = new Outages();
        outages.returned("s-1", 7_000, 500);
        outages.takeOut("s-1");
        assertThat(outages.putBack("s-1", 7_000, 900)).isTrue();
        assertThat(outages.startedUs("s-1", 0)).isEqualTo(900);
    }
}
