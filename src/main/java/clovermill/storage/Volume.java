package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The operations on files that must last. A fault is an exception, also for a write that stops short. */
public interface Volume {

    /** A file that is written from its start to its end. Not thread-safe. */
    interface Output extends AutoCloseable {

        /** Writes all of the bytes, or throws with an unknown part of them written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns when all that was written would survive the loss of power. */
        void force() throws IOException;

        /** Cuts the file back to so many bytes and goes on from there. */
        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Creates a file that must not exist yet; its name lasts when this returns. */
    Output create(Path file) throws IOException;

    /** Puts a file in the place of another, whole or not at all; it lasts when this returns. */
    void replace(Path file, byte[] content) throws IOException;

    /**
     * Gives a whole file of this volume the place of another in the same folder, or leaves both; the name lasts when
     * this returns. After a failure either file may stand there: the caller writes anew.
     */
    void rename(Path from, Path to) throws IOException;

    /** Takes a file away for good. */
    void delete(Path file) throws IOException;

    /** The disk of this machine. */
    static Volume local() {
        return new LocalVolume();
    }

    /** Writes in pieces: the JVM copies each by way of direct memory, of which a director has little. */
    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            ByteBuffer piece = bytes.slice(bytes.position(), Math.min(bytes.remaining(), 1 << 16));
            bytes.position(bytes.position() + channel.write(piece));
        }
    }

    /** Files by way of NIO. */
    final class LocalVolume implements Volume {

        /** Makes the names in a folder last. */
        @FunctionalInterface
        interface FolderSync {
            void sync(Path folder) throws IOException;
        }

        private final FolderSync folders;

        LocalVolume() {
            this(LocalVolume::syncFolder);
        }

        /** {@code folders} stands in for the sync of a folder, so that a test can have it fail. */
        LocalVolume(FolderSync folders) {
            this.folders = folders;
        }

        @Override
        public Output create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            try {
                syncName(file);
            } catch (IOException failure) {
                // The next try must find neither the file in its way nor its descriptor open.
                alsoTry(failure, channel::close);
                alsoTry(failure, () -> Files.deleteIfExists(file));
                throw failure;
            }
            return new LocalOutput(channel);
        }

        @Override
        public void replace(Path file, byte[] content) throws IOException {
            Path fresh = file.resolveSibling(file.getFileName() + ".new");
            try {
                write(fresh, content);
                CrashPoint.reached("store.replace.before-rename");
                Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException failure) {
                // A half file takes room on a disk that may be full; pages of a failed sync are not written over.
                alsoTry(failure, () -> Files.deleteIfExists(fresh));
                throw failure;
            }
            CrashPoint.reached("store.replace.after-rename");
            syncName(file);
        }

        private static void write(Path fresh, byte[] content) throws IOException {
            Files.deleteIfExists(fresh);
            try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE_NEW,
                    StandardOpenOption.WRITE)) {
                writeAll(channel, ByteBuffer.wrap(content));
                CrashPoint.reached("store.replace.before-sync");
                channel.force(true);
            }
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
            syncName(to);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
            syncName(file);
        }

        /** What is done after a failure; its own failure is told with the first. */
        private interface Step {
            void run() throws IOException;
        }

        private static void alsoTry(IOException first, Step step) {
            try {
                step.run();
            } catch (IOException second) {
                first.addSuppressed(second);
            }
        }

        /** A name in a folder lasts only when the folder itself has been synced. */
        private void syncName(Path file) throws IOException {
            folders.sync(file.toAbsolutePath().getParent());
        }

        private static void syncFolder(Path folder) throws IOException {
            try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }
    }

    /** A file by way of NIO. */
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
