package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;

/** A disk with faults that tests switch on and off; may be switched from another thread than it is used on. */
public final class FaultyVolume implements Volume {

    private static final int LOST_BYTES = 4096;

    private final Volume real = Volume.local();
    /** Bytes that still fit; a write beyond them stops short. */
    public volatile long room = Long.MAX_VALUE;
    /** Whether a sync fails. */
    public volatile boolean syncFails;
    /** So many of the next syncs fail; then they succeed again, whatever was lost. */
    public volatile int syncsThatFail;
    /**
     * The next sync of so many bytes or more fails, and has lost the first of them, as the kernel may: it drops pages
     * that it could not write, and those behind them stand.
     */
    public volatile long losesAtBytes = Long.MAX_VALUE;
    /** Whether all syncs fail from such a loss on. */
    public volatile boolean syncFailsAfterLoss;
    /** How long a sync takes. */
    public volatile long syncMs;
    /** How often a sync has succeeded. */
    public volatile int syncs;
    /** Runs before each operation, on its thread: what files hold then is what a kill at that moment leaves. */
    public volatile Runnable beforeEach = () -> {};
    /** Held shared by each operation, and alone by who wants the files to stand still. */
    private final ReadWriteLock moment = new ReentrantReadWriteLock();

    /** An operation on files. */
    @FunctionalInterface
    public interface Operation {
        /** Runs it. */
        void run() throws IOException;
    }

    /** Runs something at one moment: no operation on this disk is under way, and none begins before its end. */
    public void atOneMoment(Operation operation) throws IOException {
        moment.writeLock().lock();
        try {
            operation.run();
        } finally {
            moment.writeLock().unlock();
        }
    }

    private void operate(Operation operation) throws IOException {
        beforeEach.run();
        moment.readLock().lock();
        try {
            operation.run();
        } finally {
            moment.readLock().unlock();
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

            private void lose() throws IOException {
                if (written - synced >= losesAtBytes) {
                    syncFails = syncFailsAfterLoss;
                    try (FileChannel page = FileChannel.open(file, StandardOpenOption.WRITE)) {
                        page.write(ByteBuffer.allocate(LOST_BYTES), synced);
                    }
                    losesAtBytes = Long.MAX_VALUE;
                    throw new IOException("Input/output error");
                }
            }

            @Override
            public void write(ByteBuffer bytes) throws IOException {
                operate(() -> writeWhatFits(bytes));
            }

            private void writeWhatFits(ByteBuffer bytes) throws IOException {
                int fits = (int) Math.min(room, bytes.remaining());
                boolean whole = fits == bytes.remaining();
                output.write(bytes.slice(bytes.position(), fits));
                written += fits;
                room -= room == Long.MAX_VALUE ? 0 : fits;
                bytes.position(bytes.position() + fits);
                if (!whole) {
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
                boolean fails = syncFails || syncsThatFail > 0;
                syncsThatFail = Math.max(0, syncsThatFail - 1);
                if (fails) {
                    throw new IOException("Input/output error");
                }
                lose();
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
        if (content.length > room) {
            throw new IOException("No space left on device");
        }
        operate(() -> real.replace(file, content));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        if (syncFails) {
            throw new IOException("Input/output error");
        }
        operate(() -> real.rename(from, to));
    }

    @Override
    public void delete(Path file) throws IOException {
        operate(() -> real.delete(file));
    }
}
