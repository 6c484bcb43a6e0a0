package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

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

    @Override
    public Output create(Path file) throws IOException {
        Output output = real.create(file);
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
                output.truncate(size);
            }

            @Override
            public void close() throws IOException {
                output.close();
            }
        };
    }

    @Override
    public void replace(Path file, byte[] content) throws IOException {
        if (content.length > room) {
            throw new IOException("No space left on device");
        }
        real.replace(file, content);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        if (syncFails) {
            throw new IOException("Input/output error");
        }
        real.rename(from, to);
    }

    @Override
    public void delete(Path file) throws IOException {
        real.delete(file);
    }
}
