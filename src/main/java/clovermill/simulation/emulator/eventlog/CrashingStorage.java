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
 * A replica's emulated disk. A crash loses unflushed writes except for a random prefix, so a snapshot can be torn at
 * any of its chunks.
 */
final class CrashingStorage implements RaftStorage {

    private MemoryRaftStorage disk = new MemoryRaftStorage();
    private final Deque<Runnable> unflushed = new ArrayDeque<>();
    private boolean snapshotUnflushed;
    private int tornSnapshots;
    private int chunksUntilCrash = Integer.MAX_VALUE;
    private boolean crashed;
    private Runnable crashCallback;
    private Random crashRandom;

    /** Crashes the machine; {@code random} determines how many unflushed writes survive. */
    void crash(Random random) {
        int survivors = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
        tornSnapshots += snapshotUnflushed && !crashed ? 1 : 0;
        for (int i = 0; i < survivors; i++) {
            unflushed.removeFirst().run();
        }
        unflushed.clear();
        snapshotUnflushed = false;
    }

    /** Crashes the machine at the {@code chunk}th snapshot chunk written from now on, then runs {@code callback}. */
    void crashAtChunk(int chunk, Random random, Runnable callback) {
        chunksUntilCrash = chunk;
        crashRandom = random;
        crashCallback = callback;
    }

    /** Returns whether the machine crashed during a write; it then writes nothing until it is restarted. */
    boolean crashed() {
        return crashed;
    }

    /** Restarts the machine. */
    void restart() {
        crashed = false;
    }

    /** Erases the disk. */
    void lose() {
        disk = new MemoryRaftStorage();
        unflushed.clear();
        snapshotUnflushed = false;
    }

    /** Returns the number of crashes that interrupted the write of a snapshot. */
    int tornSnapshots() {
        return tornSnapshots;
    }

    private void enqueue(Runnable write) {
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
        enqueue(() -> disk.persistAndFlushLocalEndpoint(state));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        enqueue(() -> disk.persistAndFlushInitialGroupMembers(initial));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        enqueue(() -> disk.persistAndFlushTerm(state));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        enqueue(() -> disk.persistLogEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        snapshotUnflushed = true;
        enqueue(() -> disk.persistSnapshotChunk(chunk));
        if (--chunksUntilCrash == 0) {
            crash(crashRandom);
            crashed = true;
            crashCallback.run();
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        enqueue(() -> disk.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        enqueue(() -> disk.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        enqueue(() -> disk.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() {
        while (!unflushed.isEmpty()) {
            unflushed.removeFirst().run();
        }
        snapshotUnflushed = false;
    }
}
