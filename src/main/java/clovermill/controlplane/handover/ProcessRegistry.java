package clovermill.controlplane.handover;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.OptionalLong;

/**
 * Finds the other process of this director in a folder that both share. Each process has a file {@code here-PID} with
 * the Unix millisecond of its start, whether it is ready, and its start in the kernel's clock ticks. The ticks decide
 * which process started later, since a wall clock may be stepped; the millisecond is for earlier versions, which read
 * two words. The file of a process that ended without deleting it is deleted by the other one.
 */
public final class ProcessRegistry {

    private static final System.Logger LOG = System.getLogger(ProcessRegistry.class.getName());
    private static final String FILE_PREFIX = "here-";
    /** How long to wait after a failed write before it is tried again. */
    static final long RETRY_INTERVAL_US = 500_000;

    private final Path folder;
    private final long self;
    private final long startedUnixMs;
    private final long startTicks;
    private final ProcessTable processes;
    private boolean markedReady;
    /** When a write that failed is tried again, 0 if none failed. */
    private long retryAtUs;

    /**
     * Registers this process, on Linux.
     *
     * @throws IOException if the folder cannot be created or written
     */
    public static ProcessRegistry ofThisProcess(Path folder) throws IOException {
        return new ProcessRegistry(folder, ProcessHandle.current().pid(), System.currentTimeMillis(),
                new ProcessTable.Linux());
    }

    /** Creates the folder unless it exists, and the file of the process {@code self}. */
    ProcessRegistry(Path folder, long self, long startedUnixMs, ProcessTable processes) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.self = self;
        this.startedUnixMs = startedUnixMs;
        this.startTicks = processes.startTicks(self)
                .orElseThrow(() -> new IOException("process " + self + " has no start ticks"));
        this.processes = processes;
        write(false);
    }

    private void write(boolean ready) throws IOException {
        Path temporary = folder.resolve("new-here-" + self);
        Files.writeString(temporary, startedUnixMs + (ready ? " ready " : " starts ") + startTicks);
        Files.move(temporary, folder.resolve(FILE_PREFIX + self), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Publishes whether this process accepts connections; one that shuts down does not, and is no successor. To be
     * called repeatedly: a write that failed is tried again after {@link #RETRY_INTERVAL_US}.
     *
     * @param nowUs the monotonic clock
     */
    public void markReady(boolean ready, long nowUs) {
        if (ready == markedReady || retryAtUs != 0 && nowUs < retryAtUs) {
            return;
        }
        try {
            write(ready);
            markedReady = ready;
            retryAtUs = 0;
        } catch (IOException failure) {
            warn(failure);
            retryAtUs = nowUs + RETRY_INTERVAL_US;
        }
    }

    /** Whether another process runs now; {@link OtherProcess#NONE} where the folder cannot be read. */
    public OtherProcess findOther() {
        OtherProcess found = OtherProcess.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != self && processes.exists(pid)) {
                    found = found == OtherProcess.SUCCESSOR || isSuccessor(file, pid) ? OtherProcess.SUCCESSOR
                            : OtherProcess.PRESENT;
                } else if (pid != self) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException failure) {
            warn(failure);
        }
        return found;
    }

    private boolean isSuccessor(Path file, long pid) throws IOException {
        try {
            String[] words = Files.readString(file).split(" ");
            if (words.length < 2 || !words[1].equals("ready")) {
                return false;
            }
            Long.parseLong(words[0]);
            OptionalLong ticks = words.length > 2 ? OptionalLong.of(Long.parseLong(words[2]))
                    : processes.startTicks(pid);
            return ticks.isPresent() && (ticks.getAsLong() > startTicks
                    || ticks.getAsLong() == startTicks && pid > self);
        } catch (NoSuchFileException | NumberFormatException endedOrMalformed) {
            return false;
        }
    }

    private static long pid(Path file) {
        try {
            return Long.parseLong(file.getFileName().toString().substring(FILE_PREFIX.length()));
        } catch (NumberFormatException notAProcess) {
            return -1;
        }
    }

    /** Deletes the file of this process, which is about to end. */
    public void deregister() {
        try {
            Files.deleteIfExists(folder.resolve(FILE_PREFIX + self));
        } catch (IOException failure) {
            warn(failure);
        }
    }

    private static void warn(IOException failure) {
        LOG.log(Level.WARNING, "cannot use the shared folder of processes: {0}", failure.toString());
    }
}
