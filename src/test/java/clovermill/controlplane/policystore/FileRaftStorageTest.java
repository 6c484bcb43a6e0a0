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

    private FileRaftStorage open() throws IOException {
        return open(Volume.local());
    }

    private FileRaftStorage open(Volume volume) throws IOException {
        return new FileRaftStorage(volume, folder, PolicyStore.MAGIC, PolicyOperationCodec.messages());
    }

    private FileRaftStorage writeState() throws IOException {
        return writeState(open());
    }

    private FileRaftStorage writeState(FileRaftStorage disk) {
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
    void restoresWrittenState() throws IOException {
        writeState().close();
        for (int starts = 0; starts < 2; starts++) {
            FileRaftStorage disk = open();
            assertThat(disk.restored().getTermPersistentState().getTerm()).isEqualTo(3);
            assertThat(disk.restored().getTermPersistentState().getVotedFor()).isEqualTo(new ReplicaId(0, 0));
            assertThat(disk.restored().getLogEntries()).hasSize(38);
            disk.close();
        }
    }

    @Test
    void truncatesATornTailAndRestoresNothingAfterOtherDamage() throws IOException {
        writeState().close();
        Path file = folder.resolve("votes");
        byte[] complete = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(complete, complete.length - 3));
        FileRaftStorage torn = open();
        assertThat(torn.restored().getLogEntries()).hasSize(38);
        assertThat(torn.restored().getTermPersistentState().getTerm()).isZero();
        torn.close();
        byte[] bad = complete.clone();
        bad[complete.length / 3] ^= 1;
        Files.write(file, bad);
        FileRaftStorage damaged = open();
        assertThat(damaged.restored()).isNull();
        damaged.close();
    }

    @Test
    void restoresNothingAfterClear() throws IOException {
        FileRaftStorage disk = writeState();
        disk.clear();
        assertThat(disk.restored()).isNull();
        disk.close();
        assertThat(open().restored()).isNull();
    }

    private void persistVote(FileRaftStorage disk, int term) {
        disk.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(term)
                .setVotedFor(new ReplicaId(1, 0)).build());
    }

    /** The kernel may drop pages that a sync failed to write, and report no error at the next sync. */
    @Test
    void rejectsWritesAfterAFailedSyncUntilTheStateIsRewritten() throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = writeState(open(volume));
        byte[] before = Files.readAllBytes(folder.resolve("votes"));
        volume.remainingSyncFailures = 1;
        assertThatThrownBy(() -> persistVote(disk, 4)).isInstanceOf(UncheckedIOException.class);
        assertThat(disk.failed()).isTrue();
        assertThatThrownBy(disk::flush).hasMessageContaining("accepts no writes after a failure");
        assertThatThrownBy(() -> persistVote(disk, 5)).hasMessageContaining("accepts no writes after a failure");
        assertThat(disk.recover()).isTrue();
        assertThat(disk.failed()).isFalse();
        assertThat(Files.readAllBytes(folder.resolve("votes"))).isNotEqualTo(before);
        disk.close();
        FileRaftStorage again = open();
        assertThat(again.restored().getTermPersistentState().getTerm()).isEqualTo(5);
        assertThat(again.restored().getLogEntries()).hasSize(38);
        again.close();
    }

    /** While the disk is full or faulty the old file remains unchanged, so the process may be killed at any time. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void restoresThePreviousStateWhileTheDiskKeepsFailing(boolean full) throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = writeState(open(volume));
        volume.freeBytes = full ? 20 : Long.MAX_VALUE;
        volume.failSyncs = !full;
        assertThatThrownBy(() -> persistVote(disk, 4)).isInstanceOf(UncheckedIOException.class);
        for (int attempt = 0; attempt < 3; attempt++) {
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
    void completesAFailedClearWhenTheDiskRecovers() throws IOException {
        FaultyVolume volume = new FaultyVolume();
        FileRaftStorage disk = writeState(open(volume));
        volume.failSyncs = true;
        assertThatThrownBy(disk::clear).isInstanceOf(UncheckedIOException.class);
        assertThat(disk.failed()).isTrue();
        volume.failSyncs = false;
        assertThat(disk.recover()).isTrue();
        disk.close();
        assertThat(open().restored()).isNull();
    }
}
