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
 * The files of one instance's ledger: {@code identity.json} (who it is), {@code epoch} (the last start),
 * {@code log/EPOCH-NUMBER.seg}, {@code writer.lock} (held by the director), {@code books.mv} with {@code
 * books.lock} (held by commands), {@code checkpoint.mv} (what compacted segments came to).
 */
public record LedgerFolder(Path path) {

    /** Who wrote here: drawn when the folder is made, so that a name given to two instances shows. */
    public record Identity(UUID folder, String instance) {}

    /** A segment by its name. */
    public record Segment(Path file, long epoch, int number) {}

    private static final Pattern NAME = Pattern.compile("([0-9]{10})-([0-9]{8})\\.seg");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The folder of the segments. */
    public Path log() {
        return path.resolve("log");
    }

    /** The lock of whoever writes records. */
    public Path writerLock() {
        return path.resolve("writer.lock");
    }

    /** The lock of whoever works on the books. */
    public Path booksLock() {
        return path.resolve("books.lock");
    }

    /** The embedded store with the totals. */
    public Path books() {
        return path.resolve("books.mv");
    }

    /** What compacted segments came to. */
    public Path checkpoint() {
        return path.resolve("checkpoint.mv");
    }

    /** The file of a segment. */
    public Path segment(long epoch, int number) {
        return log().resolve(String.format("%010d-%08d.seg", epoch, number));
    }

    /** All segments in their order; files of other names are passed over. */
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

    /** Who wrote here; throws {@link NoSuchFileException} for a folder that holds no ledger. */
    public Identity identity() throws IOException {
        JsonNode json = JSON.readTree(Files.readAllBytes(path.resolve("identity.json")));
        try {
            return new Identity(UUID.fromString(json.path("folder").asText()), json.path("instance").asText());
        } catch (IllegalArgumentException bad) {
            throw new IOException(path.resolve("identity.json") + ": /folder: not a UUID");
        }
    }

    /** Makes the folder if need be, and sees to it that it is this instance's. */
    Identity claim(Volume volume, String instance) throws IOException {
        Files.createDirectories(log());
        Identity identity;
        try {
            identity = identity();
        } catch (NoSuchFileException none) {
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

    /** Begins an epoch above all that left a trace, and makes that last. */
    long nextEpoch(Volume volume) throws IOException {
        long last = 0;
        Path file = path.resolve("epoch");
        if (Files.exists(file)) {
            try {
                last = Long.parseLong(Files.readString(file).strip());
            } catch (NumberFormatException bad) {
                throw new IOException(file + " holds no number");
            }
        }
        for (Segment segment : segments()) {
            last = Math.max(last, segment.epoch());
        }
        volume.replace(file, (last + 1 + "\n").getBytes(StandardCharsets.US_ASCII));
        return last + 1;
    }
}
