package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;

/** A volume with faults that tests switch on and off, also from another thread than the one that uses it. */
public final class FaultyVolume implements Volume {

    private static final int LOST_PAGE_BYTES = 4096;

    private final Volume real = Volume.local();
    /** The free space in bytes; a write beyond it stops short. */
    public volatile long freeBytes = Long.MAX_VALUE;
    /** If true, every sync fails. */
    public volatile boolean failSyncs;
    /** The number of next syncs that fail; later syncs succeed, whatever was lost. */
    public volatile int remainingSyncFailures;
    /**
     * The number of unsynced bytes from which on the next sync fails and loses the first of them. The kernel may do
     * so: it drops pages that it could not write and keeps those after them.
     */
    public volatile long loseAfterUnsyncedBytes = Long.MAX_VALUE;
    /** If true, all syncs fail after such a loss. */
    public volatile boolean failSyncsAfterLoss;
    /** The duration of a sync, in milliseconds. */
    public volatile long syncMs;
    /** The number of successful syncs. */
    public volatile int syncs;
    /**
     * Runs before each operation, on its thread; the files then have the content that a kill at that moment leaves.
     */
    public volatile Runnable beforeOperation = () -> {};
    /** Locked shared by each operation, and exclusively by {@link #runExclusively}. */
    private final ReadWriteLock exclusion = new ReentrantReadWriteLock();

    /** An operation on files. */
    @FunctionalInterface
    public interface Operation {
        /** Runs the operation. */
        void run() throws IOException;
    }

    /** Runs an operation while no other operation on this volume is in progress. */
    public void runExclusively(Operation operation) throws IOException {
        exclusion.writeLock().lock();
        try {
            operation.run();
        } finally {
            exclusion.writeLock().unlock();
        }
    }

    private void operate(Operation operation) throws IOException {
        beforeOperation.run();
        exclusion.readLock().lock();
        try {
            operation.run();
        } finally {
            exclusion.readLock().unlock();
        }
    }

    @Override
    public Output create(Path file) throws IOException {
        Output[] created = new Output[1];
        operate(() -> created[0] = real.create(file));
        Output output = created[0];
        return new Output() {
            private long written;
            private long synced;

            private void loseFirstPageIfDue() throws IOException {
                if (written - synced >= loseAfterUnsyncedBytes) {
                    failSyncs = failSyncsAfterLoss;
                    try (FileChannel page = FileChannel.open(file, StandardOpenOption.WRITE)) {
                        page.write(ByteBuffer.allocate(LOST_PAGE_BYTES), synced);
                    }
                    loseAfterUnsyncedBytes = Long.MAX_VALUE;
                    throw new IOException("Input/output error");
                }
            }

            @Override
            public void write(ByteBuffer bytes) throws IOException {
                operate(() -> writeUpToFreeSpace(bytes));
            }

            private void writeUpToFreeSpace(ByteBuffer bytes) throws IOException {
                int writable = (int) Math.min(freeBytes, bytes.remaining());
                boolean complete = writable == bytes.remaining();
                output.write(bytes.slice(bytes.position(), writable));
                written += writable;
                freeBytes -= freeBytes == Long.MAX_VALUE ? 0 : writable;
                bytes.position(bytes.position() + writable);
                if (!complete) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void force() throws IOException {
                if (syncMs > 0) {
                    try {
                        Thread.sleep(syncMs);
                    } catch (InterruptedException stopped) {
                        throw new IOException(stopped);
                    }
                }
                operate(this::sync);
            }

            private void sync() throws IOException {
                boolean fails = failSyncs || remainingSyncFailures > 0;
                remainingSyncFailures = Math.max(0, remainingSyncFailures - 1);
                if (fails) {
                    throw new IOException("Input/output error");
                }
                loseFirstPageIfDue();
                output.force();
                synced = written;
                syncs++;
            }

            @Override
            public void truncate(long size) throws IOException {
                operate(() -> output.truncate(size));
            }

            @Override
            public void close() throws IOException {
                operate(output::close);
            }
        };
    }

    @Override
    public void replace(Path file, byte[] content) throws IOException {
        if (content.length > freeBytes) {
            throw new IOException("No space left on device");
        }
        operate(() -> real.replace(file, content));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        if (failSyncs) {
            throw new IOException("Input/output error");
        }
        operate(() -> real.rename(from, to));
    }

    @Override
    public void delete(Path file) throws IOException {
        operate(() -> real.delete(file));
    }
}
