package clovermill.controlplane.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A replica's state in memory: the contents of a {@link FileRaftStorage}, and the disk of an emulated replica. */
public final class MemoryRaftStorage implements RaftStorage {

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    /** Chunks of a snapshot by its index, then by their own. */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    @Override
    public RestoredRaftState restored() {
        if (endpoint == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> chunks : snapshots.descendingMap().values()) {
            SnapshotChunk first = chunks.firstEntry().getValue();
            if (snapshot == null && chunks.size() == first.getSnapshotChunkCount()) {
                snapshot = MODELS.createSnapshotEntryBuilder().setTerm(first.getTerm()).setIndex(first.getIndex())
                        .setSnapshotChunks(List.copyOf(chunks.values()))
                        .setGroupMembersView(first.getGroupMembersView()).build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState lasting = term != null ? term : MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(0).setVotedFor(null).build();
        return new RestoredRaftState(restoredEndpoint(snapshot), members, lasting, snapshot,
                new ArrayList<>(entries.tailMap(from, false).values()));
    }

    /**
     * MicroRaft 0.7 persists a learner's promotion when it applies it, so a crash may leave a learner beside a snapshot
     * in which it votes. Restoring these two together it ends with a NullPointerException, at each start: the snapshot
     * is the later of them (docs/incidents/learner-cannot-start.md).
     */
    private RaftEndpointPersistentState restoredEndpoint(SnapshotEntry snapshot) {
        boolean promoted = snapshot != null
                && snapshot.getGroupMembersView().getVotingMembers().contains(endpoint.getLocalEndpoint());
        return endpoint.isVoting() || !promoted ? endpoint
                : MODELS.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(endpoint.getLocalEndpoint())
                        .setVoting(true).build();
    }

    /** Writes the complete state to another storage. */
    void copyTo(RaftStorage other) throws IOException {
        if (endpoint != null) {
            other.persistAndFlushLocalEndpoint(endpoint);
        }
        if (members != null) {
            other.persistAndFlushInitialGroupMembers(members);
        }
        if (term != null) {
            other.persistAndFlushTerm(term);
        }
        for (TreeMap<Integer, SnapshotChunk> chunks : List.copyOf(snapshots.values())) {
            for (SnapshotChunk chunk : List.copyOf(chunks.values())) {
                other.persistSnapshotChunk(chunk);
            }
        }
        other.persistLogEntries(List.copyOf(entries.values()));
    }

    @Override
    public void clear() {
        endpoint = null;
        members = null;
        term = null;
        entries.clear();
        snapshots.clear();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        endpoint = state;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        members = initial;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        term = state;
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) {
        added.forEach(entry -> entries.put(entry.getIndex(), entry));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        snapshots.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        entries.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        snapshots.remove(index);
    }

    @Override
    public void flush() {}
}
