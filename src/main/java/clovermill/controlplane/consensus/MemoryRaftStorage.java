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

/**
 * Stores a replica's state in memory: the contents of a {@link FileRaftStorage}, or the disk of an emulated replica.
 */
public final class MemoryRaftStorage implements RaftStorage {

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    /** The chunks of each snapshot, by the snapshot's index and the chunk's index. */
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
        RaftTermPersistentState persistedTerm = term != null ? term : MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(0).setVotedFor(null).build();
        return new RestoredRaftState(restoredEndpoint(snapshot), members, persistedTerm, snapshot,
                new ArrayList<>(entries.tailMap(from, false).values()));
    }

    /**
     * Returns the endpoint to restore, which is a voter if the snapshot contains it as one. MicroRaft 0.7 persists a
     * learner's promotion only when it applies it, so after a crash the endpoint may be stored as a learner although
     * the later snapshot contains it as a voter. Restoring this combination fails with a NullPointerException at each
     * start (docs/incidents/learner-cannot-start.md).
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
