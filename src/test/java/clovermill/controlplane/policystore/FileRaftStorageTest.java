package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.consensus.FileRaftStorage;
import clovermill.controlplane.consensus.ReplicaId;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.storage.FaultyVolume;
import clovermill.storage.Volume;
import io.microraft.model.impl.DefaultRaftModelFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FileRaftStorageTest {

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    @TempDir
    private Path folder;

    private FileRaftStorage opened() throws IOException {
        return opened(Volume.local());
    }

    private FileRaftStorage opened(Volume volume) throws IOException {
        return new FileRaftStorage(volume, folder, PolicyStore.MAGIC, PolicyOperationCodec.messages());
    }

    private FileRaftStorage written() throws IOException {
        return written(opened());
    }

    private FileRaftStorage written(FileRaftStorage disk) {
        disk.persistAndFlushLocalEndpoint(models.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new ReplicaId(1, 0)).setVoting(true).build());
        disk.persistAndFlushInitialGroupMembers(models.createRaftGroupMembersViewBuilder().setLogIndex(0)
                .setMembers(List.of(new ReplicaId(0, 0), new ReplicaId(1, 0)))
                .setVotingMembers(List.of(new ReplicaId(0, 0), new ReplicaId(1, 0))).build());
        for (int i = 1; i <= 40; i++) {
            disk.persistLogEntries(List.of(models.createLogEntryBuilder().setIndex(i).setTerm(1)
                    .setOperation(new PolicyChange.AppendPart("d", i, "x".repeat(900))).build()));
        }
        disk.truncateLogEntriesFrom(39);
        disk.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(3)
                .setVotedFor(new ReplicaId(0, 0)).build());
        return disk;
    }

    @Test
    void givenWrittenStateWhenOpenedThenItIsRestored() throws IOException {
        written().close();
        for (int starts = 0; starts < 2; starts++) {
            FileRaftStorage disk = opened();
            assertThat(disk.restored().getTermPersistentState().getTerm()).isEqualTo(3);
            assertThat(disk.restored().getTermPersistentState().getVotedFor()).isEqualTo(new ReplicaId(0, 0));
            assertThat(disk.restored().getLogEntries()).hasSize(38);
            disk.close();
        }
    }

    @Test
    void givenATornTailThenItIsCutAndGivenDamageBeforeItThenNothingIsRestored() throws IOException {
        written().close();
        Path file = folder.resolve("votes");
        byte[] complete = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(complete, complete.length - 3));
        FileRaftStorage torn = opened();
        assertThat(torn.restored().getLogEntries()).hasSize(38);
        assertThat(torn.restored().getTermPersistentState().getTerm()).isZero();
        torn.close();
        byte[] bad = complete.clone();
        bad[complete.length / 3] ^= 1;
        Files.write(file, bad);
        FileRaftStorage damaged = opened();
        assertThat(damaged.restored()).isNull();
        damaged.close();
    }

    @Test
    void whenClearedThenNothingIsRestored() throws IOException {
        FileRaftStorage disk = written();
        disk.clear();
        assertThat(disk.restored()).isNull();
        disk.close();
        assertThat(opened().restored()).isNull();
    }

    private void vote(FileRaftStorage disk, int term) {
        disk.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(term)
                .setVotedFor(new ReplicaId(1, 0)).build());
    }

    /** The kernel may have dropped what a sync failed to write, and say nothing of it at the next sync. */
    @Test
    void givenAFailedSyncThenWritesAreRefusedUntilAllIsRewritten() throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = written(opened(volume));
        byte[] before = Files.readAllBytes(folder.resolve("votes"));
        volume.remainingSyncFailures = 1;
        assertThatThrownBy(() -> vote(disk, 4)).isInstanceOf(UncheckedIOException.class);
        assertThat(disk.failed()).isTrue();
        assertThatThrownBy(disk::flush).hasMessageContaining("takes nothing more");
        assertThatThrownBy(() -> vote(disk, 5)).hasMessageContaining("takes nothing more");
        assertThat(disk.recover()).isTrue();
        assertThat(disk.failed()).isFalse();
        assertThat(Files.readAllBytes(folder.resolve("votes"))).isNotEqualTo(before);
        disk.close();
        FileRaftStorage again = opened();
        assertThat(again.restored().getTermPersistentState().getTerm()).isEqualTo(5);
        assertThat(again.restored().getLogEntries()).hasSize(38);
        again.close();
    }

    /** While the disk is full or broken the old file stays as it was, whenever the process is killed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void givenADiskThatStaysFailedThenWhatWasWrittenBeforeIsRestored(boolean full) throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = written(opened(volume));
        volume.freeBytes = full ? 20 : Long.MAX_VALUE;
        volume.failSyncs = !full;
        assertThatThrownBy(() -> vote(disk, 4)).isInstanceOf(UncheckedIOException.class);
        for (int tries = 0; tries < 3; tries++) {
            assertThat(disk.recover()).isFalse();
        }
        Path killed = Files.createDirectory(folder.resolve("killed"));
        Files.copy(folder.resolve("votes"), killed.resolve("votes"));
        FileRaftStorage next = new FileRaftStorage(Volume.local(), killed, PolicyStore.MAGIC,
                PolicyOperationCodec.messages());
        assertThat(next.restored().getTermPersistentState().getTerm()).isBetween(3, 4);
        assertThat(next.restored().getLogEntries()).hasSize(38);
        next.close();
        volume.freeBytes = Long.MAX_VALUE;
        volume.failSyncs = false;
        assertThat(disk.recover()).isTrue();
        assertThat(disk.restored().getTermPersistentState().getTerm()).isEqualTo(4);
        disk.close();
    }

    @Test
    void givenAFailedClearWhenTheDiskRecoversThenItIsCleared() throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = written(opened(volume));
        volume.failSyncs = true;
        assertThatThrownBy(disk::clear).isInstanceOf(UncheckedIOException.class);
        assertThat(disk.failed()).isTrue();
        volume.failSyncs = false;
        assertThat(disk.recover()).isTrue();
        disk.close();
        assertThat(opened().restored()).isNull();
    }
}
