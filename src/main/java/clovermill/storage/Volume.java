package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** File operations with durability guarantees. Every fault is an exception, including a write that stops short. */
public interface Volume {

    /** A file that is written sequentially. Not thread-safe. */
    interface Output extends AutoCloseable {

        /** Writes all of the bytes; after an exception an unknown part of them is written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns when all that was written would survive a power failure. */
        void force() throws IOException;

        /** Truncates the file to {@code size} bytes; the next write appends there. */
        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Creates a file that must not exist yet; its directory entry is durable when this returns. */
    Output create(Path file) throws IOException;

    /** Replaces or creates a file atomically; the change is durable when this returns. */
    void replace(Path file, byte[] content) throws IOException;

    /**
     * Atomically renames a file within its folder, replacing an existing one; the change is durable when this
     * returns. After a failure either file may have the name {@code to}: the caller writes again.
     */
    void rename(Path from, Path to) throws IOException;

    /** Deletes a file durably. */
    void delete(Path file) throws IOException;

    /** Returns the volume of the local file system. */
    static Volume local() {
        return new LocalVolume();
    }

    /** Writes in pieces: the JVM copies each through direct memory, of which a director has little. */
    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            ByteBuffer piece = bytes.slice(bytes.position(), Math.min(bytes.remaining(), 1 << 16));
            bytes.position(bytes.position() + channel.write(piece));
        }
    }

    /** The local file system, through NIO. */
    final class LocalVolume implements Volume {

        /** Makes the directory entries of a folder durable. */
        @FunctionalInterface
        interface FolderSync {
            void sync(Path folder) throws IOException;
        }

        private final FolderSync folderSync;

        LocalVolume() {
            this(LocalVolume::syncFolder);
        }

        /** {@code folderSync} replaces the sync of a folder, so that a test can make it fail. */
        LocalVolume(FolderSync folderSync) {
            this.folderSync = folderSync;
        }

        @Override
        public Output create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            try {
                syncParentFolder(file);
            } catch (IOException failure) {
                // The next attempt must find neither a leftover file nor an open descriptor.
                runSuppressing(failure, channel::close);
                runSuppressing(failure, () -> Files.deleteIfExists(file));
                throw failure;
            }
            return new LocalOutput(channel);
        }

        @Override
        public void replace(Path file, byte[] content) throws IOException {
            Path temporary = file.resolveSibling(file.getFileName() + ".new");
            try {
                write(temporary, content);
                CrashPoint.reached("store.replace.before-rename");
                Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException failure) {
                // A partial file takes space on a disk that may be full; pages of a failed sync are not written over.
                runSuppressing(failure, () -> Files.deleteIfExists(temporary));
                throw failure;
            }
            CrashPoint.reached("store.replace.after-rename");
            syncParentFolder(file);
        }

        private static void write(Path temporary, byte[] content) throws IOException {
            Files.deleteIfExists(temporary);
            try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE_NEW,
                    StandardOpenOption.WRITE)) {
                writeAll(channel, ByteBuffer.wrap(content));
                CrashPoint.reached("store.replace.before-sync");
                channel.force(true);
            }
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
            syncParentFolder(to);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
            syncParentFolder(file);
        }

        /** A cleanup step after a failure; an exception of its own is added to the first as suppressed. */
        private interface CleanupStep {
            void run() throws IOException;
        }

        private static void runSuppressing(IOException first, CleanupStep cleanup) {
            try {
                cleanup.run();
            } catch (IOException cleanupFailure) {
                first.addSuppressed(cleanupFailure);
            }
        }

        /** Syncs the parent folder: a directory entry is durable only when the folder itself has been synced. */
        private void syncParentFolder(Path file) throws IOException {
            folderSync.sync(file.toAbsolutePath().getParent());
        }

        private static void syncFolder(Path folder) throws IOException {
            try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }
    }

    /** A local file, through NIO. */
    final class LocalOutput implements Output {

        private final FileChannel channel;

        LocalOutput(FileChannel channel) {
            this.channel = channel;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            writeAll(channel, bytes);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
            channel.position(size);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
