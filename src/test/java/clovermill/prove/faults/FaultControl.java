package clovermill.prove.faults;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The mapped file that a test and the library in its process share ({@code struct control}): switches and counters. */
final class FaultControl {

    /** Errors of files, as Linux numbers them. */
    static final int ENOSPC = 28;
    static final int EIO = 5;

    private static final int BYTES = 128;
    private static final int CLOCK_OFFSET_MS = 0;
    private static final int CALLS_OFF = 8;
    private static final int DISK_ERROR = 16;
    private static final int SOCKET_FAULTS = 24;
    private static final int DISK_FAULTS = 32;
    private static final int CLOCK_STEPS = 40;
    private static final int CLOCK_READS = 48;

    final Path file;
    private final MappedByteBuffer shared;

    /** A new file, in which no clock is stepped and no file fails. */
    FaultControl(Path file) throws IOException {
        this.file = file.toAbsolutePath();
        Files.write(file, new byte[BYTES]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
        }
        shared.order(ByteOrder.nativeOrder());
    }

    /** The process's wall clock is so far ahead of the true time from now on (negative: behind). */
    void clockOffsetMs(long offset) {
        shared.putLong(CLOCK_OFFSET_MS, offset);
    }

    /** Whether calls on sockets fail by the rules of the start; they do at first. */
    void socketCallsFail(boolean fail) {
        shared.putLong(CALLS_OFF, fail ? 0 : 1);
    }

    /** The error with which files below the folder fail from now on, or 0. */
    void diskError(int error) {
        shared.putLong(DISK_ERROR, error);
    }

    /** How often the process has read its wall clock, which shows that the library is loaded. */
    long clockReads() {
        return shared.getLong(CLOCK_READS);
    }

    /** All that the process has met: calls that failed or were cut short, and steps of its wall clock. */
    long faults() {
        return shared.getLong(SOCKET_FAULTS) + shared.getLong(DISK_FAULTS) + shared.getLong(CLOCK_STEPS);
    }
}
