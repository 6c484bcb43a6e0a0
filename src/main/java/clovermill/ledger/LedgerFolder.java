package clovermill.ledger;

import clovermill.storage.Volume;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The files of one instance's ledger: {@code identity.json} (folder ID and instance name), {@code epoch} (the number
 * of the last start), {@code log/EPOCH-NUMBER.seg}, {@code writer.lock} (locked by the director), {@code books.mv}
 * (the totals store) with {@code books.lock} (locked by commands), {@code checkpoint.mv} (the totals store as of the
 * last compaction).
 */
public record LedgerFolder(Path path) {

    /**
     * The identity of the writer. {@code folder} is drawn at random when the folder is created, which reveals an
     * instance name that is used twice.
     */
    public record Identity(UUID folder, String instance) {}

    /** A segment, identified by its file name. */
    public record Segment(Path file, long epoch, int number) {}

    private static final Pattern NAME = Pattern.compile("([0-9]{10})-([0-9]{8})\\.seg");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the folder of the segments. */
    public Path log() {
        return path.resolve("log");
    }

    /** Returns the lock file of the process that writes records. */
    public Path writerLock() {
        return path.resolve("writer.lock");
    }

    /** Returns the lock file of the process that uses the totals store. */
    public Path totalsLock() {
        return path.resolve("books.lock");
    }

    /** Returns the file of the totals store. */
    public Path totals() {
        return path.resolve("books.mv");
    }

    /** Returns the file of the checkpoint, which contains the totals of compacted segments. */
    public Path checkpoint() {
        return path.resolve("checkpoint.mv");
    }

    /** Returns the file of a segment. */
    public Path segment(long epoch, int number) {
        return log().resolve(String.format("%010d-%08d.seg", epoch, number));
    }

    /** Returns all segments in order; files with other names are skipped. */
    public List<Segment> segments() throws IOException {
        List<Segment> found = new ArrayList<>();
        if (!Files.isDirectory(log())) {
            return found;
        }
        try (Stream<Path> files = Files.list(log())) {
            for (Path file : files.sorted().toList()) {
                Matcher name = NAME.matcher(file.getFileName().toString());
                if (name.matches()) {
                    found.add(new Segment(file, Long.parseLong(name.group(1)), Integer.parseInt(name.group(2))));
                }
            }
        }
        return found;
    }

    /** Returns the identity; throws {@link NoSuchFileException} for a folder without a ledger. */
    public Identity identity() throws IOException {
        JsonNode json = JSON.readTree(Files.readAllBytes(path.resolve("identity.json")));
        try {
            return new Identity(UUID.fromString(json.path("folder").asText()), json.path("instance").asText());
        } catch (IllegalArgumentException bad) {
            throw new IOException(path.resolve("identity.json") + ": /folder: not a UUID");
        }
    }

    /** Creates the folder if needed, and checks that it belongs to this instance. */
    Identity claim(Volume volume, String instance) throws IOException {
        Files.createDirectories(log());
        Identity identity;
        try {
            identity = identity();
        } catch (NoSuchFileException missingFile) {
            ObjectNode json = JSON.createObjectNode();
            json.put("folder", UUID.randomUUID().toString()).put("instance", instance);
            volume.replace(path.resolve("identity.json"), JSON.writeValueAsBytes(json));
            identity = identity();
        }
        if (!identity.instance().equals(instance)) {
            throw new IOException(path + " is the ledger of instance " + identity.instance() + ", not of " + instance);
        }
        return identity;
    }

    /** Returns an epoch above all that left any trace, after making it durable. */
    long nextEpoch(Volume volume) throws IOException {
        long last = 0;
        Path file = path.resolve("epoch");
        if (Files.exists(file)) {
            try {
                last = Long.parseLong(Files.readString(file).strip());
            } catch (NumberFormatException bad) {
                throw new IOException(file + " does not contain a number");
            }
        }
        for (Segment segment : segments()) {
            last = Math.max(last, segment.epoch());
        }
        volume.replace(file, (last + 1 + "\n").getBytes(StandardCharsets.US_ASCII));
        return last + 1;
    }
}
