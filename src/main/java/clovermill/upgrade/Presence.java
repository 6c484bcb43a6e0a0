package clovermill.upgrade;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.LongPredicate;

/**
 * Tells the processes of one director of each other: each has a file {@code here-PID} in the folder that they share,
 * with the Unix millisecond of its start and whether it is ready. What a process left behind that ended without taking
 * its file away is found out by its number, and taken away.
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

    private final Path folder;
    private final long self;
    private final long startedMs;
    private final LongPredicate alive;

    /** For this process, on Linux, from now on. */
    public static Presence ofThisProcess(Path folder) throws IOException {
        return new Presence(folder, ProcessHandle.current().pid(), System.currentTimeMillis(),
                pid -> Files.exists(Path.of("/proc/" + pid)));
    }

    /** Makes the folder if need be, and the file of the process {@code self}; throws where that cannot be done. */
    Presence(Path folder, long self, long startedMs, LongPredicate alive) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.self = self;
        this.startedMs = startedMs;
        this.alive = alive;
        write(false);
    }

    private void write(boolean ready) throws IOException {
        Path whole = folder.resolve("new-here-" + self);
        Files.writeString(whole, startedMs + (ready ? " ready" : " starts"));
        Files.move(whole, folder.resolve(HERE + self), StandardCopyOption.ATOMIC_MOVE);
    }

    /** This process takes connections from now on. */
    public void ready() {
        try {
            write(true);
        } catch (IOException failure) {
            warn(failure);
        }
    }

    /** Who else is there now. */
    public Others look() {
        Others found = Others.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, HERE + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != self && alive.test(pid)) {
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
            long otherMs = Long.parseLong(words[0]);
            return words.length > 1 && words[1].equals("ready")
                    && (otherMs > startedMs || otherMs == startedMs && pid > self);
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
