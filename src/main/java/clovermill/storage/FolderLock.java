package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A lock file that keeps other processes from using a folder. The operating system releases the lock when the process
 * exits, however it exits.
 */
public final class FolderLock implements AutoCloseable {

    /** Thrown when another process, or another thread of this process, has the lock. */
    public static final class AlreadyLockedException extends IOException {

        private static final long serialVersionUID = 1L;

        AlreadyLockedException(Path file, String owner) {
            super(file + " is held by " + (owner.isBlank() ? "another process" : "process " + owner.strip()));
        }
    }

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Acquires the lock on {@code file}, or throws {@link AlreadyLockedException} at once. */
    public static FolderLock acquire(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = tryLock(channel);
            if (lock == null) {
                ByteBuffer owner = ByteBuffer.allocate(20);
                channel.read(owner, 0);
                throw new AlreadyLockedException(file,
                        new String(owner.array(), 0, owner.position(), StandardCharsets.US_ASCII));
            }
            channel.truncate(0);
            String processId = ProcessHandle.current().pid() + "\n";
            channel.write(ByteBuffer.wrap(processId.getBytes(StandardCharsets.US_ASCII)), 0);
            return new FolderLock(channel);
        } catch (IOException failure) {
            channel.close();
            throw failure;
        }
    }

    /** An action that is run while the lock is owned. */
    public interface Action<T> {

        /** Runs the action and returns its result. */
        T run() throws IOException;
    }

    /** Acquires the lock on {@code file}, runs the action and releases the lock. */
    public static <T> T withLock(Path file, Action<T> action) throws IOException {
        FolderLock lock = acquire(file);
        try {
            return action.run();
        } finally {
            lock.close();
        }
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException lockedByThisProcess) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
