package clovermill.outage;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.CacheRouter.Availability;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OutageFolderTest {

    @TempDir
    private Path folder;

    /** A process that starts later must know at its first look what an earlier one was told. */
    @Test
    void whatOneProcessMarksTheOtherSees() throws Exception {
        OutageFolder one = new OutageFolder(folder.resolve("shared"));
        one.takeOut("s-1");
        one.takeOut("../s 2");
        one.putBack("s-1", 42);
        OutageFolder other = new OutageFolder(folder.resolve("shared"));
        assertThat(other.look()).isEqualTo(new OutageFolder.Marks(Set.of("../s 2"), Map.of("s-1", 42L)));
        other.putBack("../s 2", 43);
        one.takeOut("s-1");
        assertThat(one.look()).isEqualTo(new OutageFolder.Marks(Set.of("s-1"), Map.of("s-1", 42L, "../s 2", 43L)));
    }

    @Test
    void aFolderInWhichNothingChangedIsNotReadAgain() throws Exception {
        OutageFolder one = new OutageFolder(folder);
        one.takeOut("s-1");
        Files.setLastModifiedTime(folder, java.nio.file.attribute.FileTime.fromMillis(1_000));
        assertThat(one.look()).isNotNull();
        Files.setLastModifiedTime(folder, java.nio.file.attribute.FileTime.fromMillis(1_000));
        assertThat(one.look()).isNull();
        Files.writeString(folder.resolve("back-s-9"), "not a time");
        Files.writeString(folder.resolve("out-%zz"), "no name of ours");
        assertThat(one.look()).as("junk costs a line in the log").isNull();
    }

    @Test
    void aCacheThatIsOutDrainsAndOneThatIsBackHasJustStarted() {
        Outages outages = new Outages();
        assertThat(outages.takeOut("s-1")).isTrue();
        assertThat(outages.takeOut("s-1")).isFalse();
        assertThat(outages.counted("s-1", Availability.HEALTHY)).isEqualTo(Availability.DRAINING);
        assertThat(outages.counted("s-1", Availability.GONE)).isEqualTo(Availability.GONE);
        assertThat(outages.counted("s-2", Availability.HEALTHY)).isEqualTo(Availability.HEALTHY);
        assertThat(outages.putBack("s-1", 500)).isTrue();
        assertThat(outages.putBack("s-1", 600)).isFalse();
        assertThat(outages.counted("s-1", Availability.HEALTHY)).isEqualTo(Availability.HEALTHY);
        outages.returned("s-1", 400);
        assertThat(outages.startedMs("s-1", 0)).isEqualTo(500);
        assertThat(outages.startedMs("s-1", 700)).isEqualTo(700);
        assertThat(outages.startedMs("s-2", 0)).isZero();
    }
}
