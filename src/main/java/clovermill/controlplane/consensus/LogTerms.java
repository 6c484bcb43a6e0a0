package clovermill.controlplane.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The terms of the entries in a replica's log, recorded as they are written to its store, because MicroRaft exposes
 * neither its log nor its snapshot's index. Not thread-safe.
 */
final class LogTerms implements RaftStore {

    /** The index of a log without a snapshot. */
    private static final long NO_SNAPSHOT = 0;

    private final RaftStore store;
    /** The term of each entry in MicroRaft's log by index: those after the snapshot and a few before it. */
    private final TreeMap<Long, Integer> terms = new TreeMap<>();
    private long snapshotIndex = NO_SNAPSHOT;
    private int snapshotTerm;
    /** The chunks of the snapshot at {@link #partialIndex} that have been written. */
    private final Set<Integer> partialChunks = new HashSet<>();
    private long partialIndex = NO_SNAPSHOT;

    /** Wraps a store; {@code restored} is the state restored from it, or null if it is empty. */
    LogTerms(RaftStore store, RestoredRaftState restored) {
        this.store = store;
        if (restored != null) {
            restore(restored);
        }
    }

    private void restore(RestoredRaftState restored) {
        SnapshotEntry snapshot = restored.getSnapshotEntry();
        if (snapshot != null) {
            snapshotIndex = snapshot.getIndex();
            snapshotTerm = snapshot.getTerm();
        }
        restored.getLogEntries().forEach(entry -> terms.put(entry.getIndex(), entry.getTerm()));
    }

    /** Returns the index of the last entry, or that of the snapshot if the log is empty. */
    long lastIndex() {
        return terms.isEmpty() ? snapshotIndex : Math.max(snapshotIndex, terms.lastKey());
    }

    /** Returns true if the log itself, and not only the snapshot, contains an entry. */
    boolean contains(long index) {
        return terms.containsKey(index);
    }

    /** Returns true if the log contains an entry with an index and term. */
    boolean matches(long index, int term) {
        return contains(index) && terms.get(index) == term;
    }

    /** Returns the term of an entry or of the snapshot that ends with it; 0 if it is unknown. */
    int term(long index) {
        return terms.getOrDefault(index, index == snapshotIndex ? snapshotTerm : 0);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        store.persistAndFlushLocalEndpoint(endpoint);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        store.persistAndFlushInitialGroupMembers(members);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        store.persistAndFlushTerm(term);
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        store.persistLogEntries(entries);
        entries.forEach(entry -> terms.put(entry.getIndex(), entry.getTerm()));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        store.persistSnapshotChunk(chunk);
        if (chunk.getIndex() != partialIndex) {
            partialIndex = chunk.getIndex();
            partialChunks.clear();
        }
        partialChunks.add(chunk.getSnapshotChunkIndex());
        if (partialChunks.size() == chunk.getSnapshotChunkCount() && partialIndex > snapshotIndex) {
            snapshotIndex = partialIndex;
            snapshotTerm = chunk.getTerm();
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        store.truncateLogEntriesFrom(index);
        terms.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        store.truncateLogEntriesUntil(index);
        terms.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        store.deleteSnapshotChunks(index, count);
    }

    @Override
    public void flush() throws IOException {
        store.flush();
    }
}
