package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Keeps a second process off a folder. The operating system frees it with the process, however that ends. */
public final class FolderLock implements AutoCloseable {

    /** Somebody else works on the folder. */
    public static final class Held extends IOException {

        private static final long serialVersionUID = 1L;

        Held(Path file, String holder) {
            super(file + " is held by " + (holder.isBlank() ? "another process" : "process " + holder.strip()));
        }
    }

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Takes the lock by the name of {@code file}, or throws {@link Held} at once. */
    public static FolderLock take(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = lock(channel);
            if (lock == null) {
                ByteBuffer other = ByteBuffer.allocate(20);
                channel.read(other, 0);
                throw new Held(file, new String(other.array(), 0, other.position(), StandardCharsets.US_ASCII));
            }
            channel.truncate(0);
            String holder = ProcessHandle.current().pid() + "\n";
            channel.write(ByteBuffer.wrap(holder.getBytes(StandardCharsets.US_ASCII)), 0);
            return new FolderLock(channel);
        } catch (IOException failure) {
            channel.close();
            throw failure;
        }
    }

    /** What is done under a lock. */
    public interface Work<T> {

        /** Does it. */
        T run() throws IOException;
    }

    /** Does something while holding a lock. */
    public static <T> T holding(Path file, Work<T> work) throws IOException {
        FolderLock lock = take(file);
        try {
            return work.run();
        } finally {
            lock.close();
        }
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException mine) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
