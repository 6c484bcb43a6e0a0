package clovermill.prove.faults;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The memory-mapped file with switches and counters that a test shares with the library in the process under test
 * ({@code struct control}).
 */
final class FaultControl {

    /** Errno values of Linux for file errors. */
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

    /** Creates the file, with no clock offset and no file errors. */
    FaultControl(Path file) throws IOException {
        this.file = file.toAbsolutePath();
        Files.write(file, new byte[BYTES]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
        }
        shared.order(ByteOrder.nativeOrder());
    }

    /** Sets how far the process's wall clock is ahead of the true time (negative: behind). */
    void setClockOffsetMs(long offsetMs) {
        shared.putLong(CLOCK_OFFSET_MS, offsetMs);
    }

    /** Switches the socket faults that were configured at the start on or off; they are on at first. */
    void enableSocketFaults(boolean enabled) {
        shared.putLong(CALLS_OFF, enabled ? 0 : 1);
    }

    /** Sets the errno with which files below the folder fail, or 0 for none. */
    void setDiskError(int errno) {
        shared.putLong(DISK_ERROR, errno);
    }

    /** Returns how often the process has read its wall clock; above 0 the library is loaded. */
    long clockReads() {
        return shared.getLong(CLOCK_READS);
    }

    /** Returns the number of injected faults: calls that failed or were cut short, and wall clock steps. */
    long faults() {
        return shared.getLong(SOCKET_FAULTS) + shared.getLong(DISK_FAULTS) + shared.getLong(CLOCK_STEPS);
    }
}
