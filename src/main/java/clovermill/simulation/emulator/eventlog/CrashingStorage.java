package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.consensus.MemoryRaftStorage;
import clovermill.controlplane.consensus.RaftStorage;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * An emulated replica's disk: what was not flushed is lost in a crash, but for a random part of its beginning, so that
 * a snapshot is torn at any of its chunks.
 */
final class CrashingStorage implements RaftStorage {

    private MemoryRaftStorage disk = new MemoryRaftStorage();
    private final Deque<Runnable> unflushed = new ArrayDeque<>();
    private boolean snapshotUnflushed;
    private int tornSnapshots;
    private int chunksUntilCrash = Integer.MAX_VALUE;
    private boolean crashed;
    private Runnable whenCrashed;
    private Random crashRandom;

    /** The machine dies; what is left on the disk is drawn from {@code random}. */
    void crash(Random random) {
        int survivors = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
        tornSnapshots += snapshotUnflushed && !crashed ? 1 : 0;
        for (int i = 0; i < survivors; i++) {
            unflushed.removeFirst().run();
        }
        unflushed.clear();
        snapshotUnflushed = false;
    }

    /** The machine dies while it writes a later chunk of a snapshot, counted from now; {@code then} runs after it. */
    void crashAtChunk(int chunk, Random random, Runnable then) {
        chunksUntilCrash = chunk;
        crashRandom = random;
        whenCrashed = then;
    }

    /** Whether the machine died while it wrote; from then on it writes nothing until it is started again. */
    boolean crashed() {
        return crashed;
    }

    /** The machine starts again. */
    void restart() {
        crashed = false;
    }

    /** The disk is lost. */
    void lose() {
        disk = new MemoryRaftStorage();
        unflushed.clear();
        snapshotUnflushed = false;
    }

    /** Crashes that found a snapshot half written. */
    int tornSnapshots() {
        return tornSnapshots;
    }

    private void later(Runnable write) {
        if (!crashed) {
            unflushed.addLast(write);
        }
    }

    @Override
    public RestoredRaftState restored() {
        return disk.restored();
    }

    @Override
    public void clear() {
        lose();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        later(() -> disk.persistAndFlushLocalEndpoint(state));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        later(() -> disk.persistAndFlushInitialGroupMembers(initial));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        later(() -> disk.persistAndFlushTerm(state));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        later(() -> disk.persistLogEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        snapshotUnflushed = true;
        later(() -> disk.persistSnapshotChunk(chunk));
        if (--chunksUntilCrash == 0) {
            crash(crashRandom);
            crashed = true;
            whenCrashed.run();
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        later(() -> disk.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        later(() -> disk.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        later(() -> disk.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() {
        while (!unflushed.isEmpty()) {
            unflushed.removeFirst().run();
        }
        snapshotUnflushed = false;
    }
}
