package clovermill.outage;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Marks in a folder that the processes of one director share: an empty file {@code out-ID} for each cache that is out,
 * and {@code back-ID} with the Unix millisecond of its return for one that came back, which tells one return from
 * another. A mark is made before a call is
 * answered, and each file stands for itself, so that two processes need no lock. The folder lies in memory, and a look
 * that finds nothing new costs one call for its attributes: both may be done on the loop.
 */
public final class OutageFolder implements OutageMarks {

    /** What the marks tell. */
    public record Marks(Set<String> out, Map<String, Long> back) {}

    private static final System.Logger LOG = System.getLogger(OutageFolder.class.getName());
    private static final String OUT = "out-";
    private static final String BACK = "back-";
    /** A folder whose time is new is read again after this long: its time may be coarser than its changes. */
    private static final long COARSE_US = 50_000;
    /** It is read again after this long in any case: a wall clock that is stepped back may give a time out twice. */
    private static final long REREAD_US = 5_000_000;

    private final Path folder;
    /** What could not be marked, a full or read-only folder being the cause: true for out. It holds in this process. */
    private final Map<String, Boolean> unmarked = new HashMap<>();
    private final LongSupplier monotonicUs;
    /** The folder's time when it was last read, compared for equality alone, and when that was first found. */
    private FileTime changed;
    private long changeFoundUs;
    private long readUs;

    /**
     * Makes the folder if need be; throws what the file system says where that fails. {@code monotonicUs} reads a clock
     * in microseconds that is never stepped.
     */
    public OutageFolder(Path folder, LongSupplier monotonicUs) throws IOException {
        this.monotonicUs = monotonicUs;
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public void takeOut(String id) {
        note(id, write(mark(OUT, id), ""), true);
    }

    private void note(String id, boolean marked, boolean out) {
        unmarked.remove(id);
        if (!marked) {
            unmarked.put(id, out);
        }
    }

    /** The mark of its being out goes last. */
    @Override
    public void putBack(String id, long stampMs) {
        boolean marked = write(mark(BACK, id), Long.toString(stampMs));
        try {
            Files.deleteIfExists(mark(OUT, id));
        } catch (IOException failure) {
            warn(failure);
            marked = false;
        }
        note(id, marked, false);
    }

    private boolean write(Path mark, String text) {
        Path whole = folder.resolve("new-" + ProcessHandle.current().pid());
        try {
            Files.writeString(whole, text);
            Files.move(whole, mark, StandardCopyOption.ATOMIC_MOVE);
            return true;
        } catch (IOException failure) {
            warn(failure);
            return false;
        }
    }

    /** What the marks tell now; null where they have not changed since the last look, or cannot be read. */
    public Marks look() {
        try {
            if (!isToBeRead()) {
                return null;
            }
            Set<String> out = new HashSet<>();
            Map<String, Long> back = new HashMap<>();
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
                for (Path file : files) {
                    String name = file.getFileName().toString();
                    if (name.startsWith(OUT)) {
                        out.add(id(name, OUT));
                    } else if (name.startsWith(BACK)) {
                        readBack(file, id(name, BACK), back);
                    }
                }
            }
            unmarked.forEach((id, isOut) -> {
                out.remove(id);
                if (isOut) {
                    out.add(id);
                }
            });
            return new Marks(out, back);
        } catch (IOException | IllegalArgumentException failure) {
            warn(failure);
            return null;
        }
    }

    /**
     * Notes a read. It is needed where the folder's time is another one than at the last read, or may be too coarse.
     */
    private boolean isToBeRead() throws IOException {
        FileTime now = Files.getLastModifiedTime(folder);
        long nowUs = monotonicUs.getAsLong();
        if (!now.equals(changed)) {
            changed = now;
            changeFoundUs = nowUs;
        } else if (readUs - changeFoundUs > COARSE_US && nowUs - readUs < REREAD_US) {
            return false;
        }
        readUs = nowUs;
        return true;
    }

    private static void readBack(Path file, String id, Map<String, Long> back) throws IOException {
        try {
            back.put(id, Long.parseLong(Files.readString(file)));
        } catch (NumberFormatException | NoSuchFileException passing) {
            // not a mark of ours, or gone meanwhile
        }
    }

    private Path mark(String prefix, String id) {
        return folder.resolve(prefix + URLEncoder.encode(id, StandardCharsets.UTF_8));
    }

    private static String id(String name, String prefix) {
        return URLDecoder.decode(name.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    private static void warn(Exception failure) {
        LOG.log(Level.WARNING, "the folder of outages: {0}", failure.toString());
    }
}
