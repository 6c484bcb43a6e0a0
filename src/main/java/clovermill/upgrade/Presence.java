package clovermill.upgrade;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.OptionalLong;

/**
 * Tells the processes of one director of each other: each has a file {@code here-PID} in the folder that they share,
 * with the Unix millisecond of its start, whether it is ready, and the kernel's start ticks. Which of two started later
 * the ticks say, since a wall clock may be stepped; the millisecond is for processes of earlier versions, which read
 * two
 * words. What a process left behind that ended without taking its file away is found out by its number, and taken away.
 */
public final class Presence {

    /** Who else is there. */
    public enum Others {
        /** Nobody. */
        NONE,
        /** Another process, which started before this one or is not ready. */
        BESIDE,
        /** A process that started later and is ready: new connections are its own. */
        SUCCESSOR
    }

    private static final System.Logger LOG = System.getLogger(Presence.class.getName());
    private static final String HERE = "here-";
    /** A folder that is full for a moment is left alone for so long. */
    static final long MARK_PAUSE_US = 500_000;

    private final Path folder;
    private final long self;
    private final long startedMs;
    private final long startTicks;
    private final ProcessTable processes;
    private boolean markedReady;
    /** When a mark that could not be written is tried again, 0 for at once. */
    private long markAgainUs;

    /** For this process, on Linux, from now on. */
    public static Presence ofThisProcess(Path folder) throws IOException {
        return new Presence(folder, ProcessHandle.current().pid(), System.currentTimeMillis(),
                new ProcessTable.Linux());
    }

    /** Makes the folder if need be, and the file of the process {@code self}; throws where that cannot be done. */
    Presence(Path folder, long self, long startedMs, ProcessTable processes) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.self = self;
        this.startedMs = startedMs;
        this.startTicks = processes.startTicks(self)
                .orElseThrow(() -> new IOException("process " + self + " has no start ticks"));
        this.processes = processes;
        write(false);
    }

    private void write(boolean ready) throws IOException {
        Path whole = folder.resolve("new-here-" + self);
        Files.writeString(whole, startedMs + (ready ? " ready " : " starts ") + startTicks);
        Files.move(whole, folder.resolve(HERE + self), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Marks whether this process takes connections from now on; one that leaves does not, and is nobody's successor. It
     * is to be called again and again: a mark that cannot be written is tried again after {@link #MARK_PAUSE_US}.
     *
     * @param nowUs the monotonic clock, in microseconds
     */
    public void markReady(boolean ready, long nowUs) {
        if (ready == markedReady || markAgainUs != 0 && nowUs < markAgainUs) {
            return;
        }
        try {
            write(ready);
            markedReady = ready;
            markAgainUs = 0;
        } catch (IOException failure) {
            warn(failure);
            markAgainUs = nowUs + MARK_PAUSE_US;
        }
    }

    /** Who else is there now. */
    public Others look() {
        Others found = Others.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, HERE + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != self && processes.exists(pid)) {
                    found = found == Others.SUCCESSOR || succeeds(file, pid) ? Others.SUCCESSOR : Others.BESIDE;
                } else if (pid != self) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException failure) {
            warn(failure);
        }
        return found;
    }

    private boolean succeeds(Path file, long pid) throws IOException {
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
        } catch (NoSuchFileException | NumberFormatException noProcessOfThisVersion) {
            return false;
        }
    }

    private static long pid(Path file) {
        try {
            return Long.parseLong(file.getFileName().toString().substring(HERE.length()));
        } catch (NumberFormatException notOurs) {
            return -1;
        }
    }

    /** This process is about to end. */
    public void leave() {
        try {
            Files.deleteIfExists(folder.resolve(HERE + self));
        } catch (IOException failure) {
            warn(failure);
        }
    }

    private static void warn(IOException failure) {
        LOG.log(Level.WARNING, "the folder of processes: {0}", failure.toString());
    }
}
