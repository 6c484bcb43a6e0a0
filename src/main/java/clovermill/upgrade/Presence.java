package clovermill.upgrade;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.LongPredicate;

/**
 * Tells the processes of one director of each other: each has a file {@code here-PID} in the folder that they share.
 * What a process left behind that ended without taking its file away is found out by its number, and taken away.
 */
public final class Presence {

    private static final System.Logger LOG = System.getLogger(Presence.class.getName());
    private static final String HERE = "here-";

    private final Path folder;
    private final long self;
    private final LongPredicate alive;

    /** For this process, on Linux. */
    public static Presence ofThisProcess(Path folder) throws IOException {
        return new Presence(folder, ProcessHandle.current().pid(), pid -> Files.exists(Path.of("/proc/" + pid)));
    }

    /** Makes the folder if need be, and the file of the process {@code self}; throws where that cannot be done. */
    Presence(Path folder, long self, LongPredicate alive) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.self = self;
        this.alive = alive;
        Files.writeString(folder.resolve(HERE + self), "");
    }

    /** Whether another process of this director is there. */
    public boolean besideAnother() {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, HERE + "*")) {
            for (Path file : files) {
                long pid = pid(file);
                if (pid >= 0 && pid != self && alive.test(pid)) {
                    found = true;
                } else if (pid != self) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "the folder of processes: {0}", failure.toString());
        }
        return found;
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
        } catch (NoSuchFileException gone) {
            // somebody cleaned up
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "the folder of processes: {0}", failure.toString());
        }
    }
}
