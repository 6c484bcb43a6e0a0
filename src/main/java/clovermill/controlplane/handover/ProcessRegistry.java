package clovermill.controlplane.handover;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds the other process of this director in a folder that both share. Each process has a file {@code here-PID} with
 * the time of its start in Unix milliseconds, its readiness, and its start in the kernel's clock ticks. The ticks
 * determine which process started later, since a wall clock may be stepped; the milliseconds are for earlier versions,
 * which read the first two words only. The file of a process that exited without deleting it is deleted by the other
 * one.
 */
public final class ProcessRegistry {

    private static final System.Logger LOG = System.getLogger(ProcessRegistry.class.getName());
    private static final String FILE_PREFIX = "here-";
    private static final String READY = "ready";
    private static final String STARTING = "starts";
    /** Delay before a failed write is retried. */
    static final long RETRY_INTERVAL_US = 500_000;

    private final Path folder;
    private final long ownPid;
    private final long startedUnixMs;
    private final long startTicks;
    private final ProcessTable processes;
    /** The processes that were registered before this one. */
    private final Set<Long> predecessors;
    private boolean markedReady;
    /** The time at which a failed write is retried, 0 if none failed. */
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

    /** Creates the folder if it does not exist, and the file of the process {@code ownPid}. */
    ProcessRegistry(Path folder, long ownPid, long startedUnixMs, ProcessTable processes) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.ownPid = ownPid;
        this.startedUnixMs = startedUnixMs;
        this.startTicks = processes.startTicks(ownPid)
                .orElseThrow(() -> new IOException("process " + ownPid + " has no start ticks"));
        this.processes = processes;
        this.predecessors = registeredPids();
        write(false);
    }

    private Set<Long> registeredPids() throws IOException {
        Set<Long> pids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                // A file with the own pid is left over, unless the same system process has registered twice.
                if (pid >= 0 && (pid != ownPid || Files.readString(file).endsWith(" " + startTicks))) {
                    pids.add(pid);
                }
            }
        }
        return pids;
    }

    /** Returns whether a process that was registered before this one still runs. */
    public boolean hasPredecessor() {
        predecessors.removeIf(pid -> !processes.exists(pid) || Files.notExists(folder.resolve(FILE_PREFIX + pid)));
        return !predecessors.isEmpty();
    }

    private void write(boolean ready) throws IOException {
        Path temporary = folder.resolve("new-here-" + ownPid);
        Files.writeString(temporary, startedUnixMs + " " + (ready ? READY : STARTING) + " " + startTicks);
        Files.move(temporary, folder.resolve(FILE_PREFIX + ownPid), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Publishes whether this process accepts connections. A process that shuts down does not, and is not a successor.
     * To be called repeatedly, as a failed write is retried after {@link #RETRY_INTERVAL_US}.
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

    /** Returns the state of the other process; {@link OtherProcess#NONE} if the folder cannot be read. */
    public OtherProcess findOther() {
        OtherProcess found = OtherProcess.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != ownPid && processes.exists(pid)) {
                    found = found == OtherProcess.SUCCESSOR || startedLater(file, pid, READY)
                            ? OtherProcess.SUCCESSOR
                            : OtherProcess.PRESENT;
                } else if (pid != ownPid) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException failure) {
            warn(failure);
        }
        return found;
    }

    /** Returns the process that started after this one and does not accept connections yet. */
    public OptionalLong findStartingSuccessor() {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != ownPid && processes.exists(pid) && startedLater(file, pid, STARTING)) {
                    return OptionalLong.of(pid);
                }
            }
        } catch (IOException failure) {
            warn(failure);
        }
        return OptionalLong.empty();
    }

    /** Returns whether a process started after this one and is in {@code state}. */
    private boolean startedLater(Path file, long pid, String state) throws IOException {
        try {
            String[] words = Files.readString(file).split(" ");
            if (words.length < 2 || !words[1].equals(state)) {
                return false;
            }
            Long.parseLong(words[0]);
            OptionalLong ticks = words.length > 2 ? OptionalLong.of(Long.parseLong(words[2]))
                    : processes.startTicks(pid);
            return ticks.isPresent() && (ticks.getAsLong() > startTicks
                    || ticks.getAsLong() == startTicks && pid > ownPid);
        } catch (NoSuchFileException | NumberFormatException exitedOrMalformed) {
            return false;
        }
    }

    private static long pid(Path file) {
        try {
            return Long.parseLong(file.getFileName().toString().substring(FILE_PREFIX.length()));
        } catch (NumberFormatException invalidPid) {
            return -1;
        }
    }

    /** Deletes the file of this process, which is about to exit. */
    public void deregister() {
        try {
            Files.deleteIfExists(folder.resolve(FILE_PREFIX + ownPid));
        } catch (IOException failure) {
            warn(failure);
        }
    }

    private static void warn(IOException failure) {
        LOG.log(Level.WARNING, "cannot use the shared folder of processes: {0}", failure.toString());
    }
}
