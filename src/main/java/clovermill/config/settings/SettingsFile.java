package clovermill.config.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** A settings file that has passed its schema; subsystems take their part of it by name. */
public final class SettingsFile {

    /** A fault in one line: the file, the JSON pointer (RFC 6901) of the place, and the reason. */
    public static final class Fault extends Exception {

        private static final long serialVersionUID = 1L;

        /** {@code pointer} is the JSON pointer of the value at fault, empty for the whole file. */
        public Fault(String file, String pointer, String reason) {
            super(file + ": " + (pointer.isEmpty() ? "" : pointer + ": ") + reason, null, false, false);
        }
    }

    private static final String SCHEMA = "/clovermill.schema.json";
    private static final JsonMapper JSON = JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private final String file;
    private final JsonNode root;

    private SettingsFile(String file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Whether a file looks like what the platform tells a director, rather than settings of our own. */
    public static boolean isConfiguration(String file) {
        try {
            JsonNode root = JSON.readTree(Files.readString(Path.of(file)));
            return root.has("settings") && root.has("channel");
        } catch (IOException | InvalidPathException unreadable) {
            return false;
        }
    }

    /** Reads and checks a file. */
    public static SettingsFile read(String file) throws Fault {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (NoSuchFileException missing) {
            throw new Fault(file, "", "there is no such file");
        } catch (IOException | InvalidPathException failure) {
            throw new Fault(file, "", "cannot be read: " + failure.getMessage());
        }
        return read(file, text);
    }

    /** Checks a text that came from {@code file}. */
    public static SettingsFile read(String file, String text) throws Fault {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException bad) {
            throw new Fault(file, "", "no JSON, line " + bad.getLocation().getLineNr() + ", column "
                    + bad.getLocation().getColumnNr() + ": " + bad.getOriginalMessage().lines().findFirst().orElse(""));
        }
        List<Error> errors = schema().validate(text, InputFormat.JSON);
        if (!errors.isEmpty()) {
            Error first = errors.get(0);
            throw new Fault(file, first.getInstanceLocation().toString(), first.getMessage());
        }
        return new SettingsFile(file, root);
    }

    private static Schema schema() {
        try (InputStream in = SettingsFile.class.getResourceAsStream(SCHEMA)) {
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8), InputFormat.JSON);
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** A subsystem's part of the file, as the record that it reads its settings into; empty if absent. */
    public <T> Optional<T> part(String name, Class<T> type) throws Fault {
        JsonNode node = root.get(name);
        if (node == null || node.isNull()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.treeToValue(node, type));
        } catch (JsonProcessingException bad) {
            throw new Fault(file, "/" + name, bad.getOriginalMessage());
        }
    }

    /** The name under which faults are told. */
    public String file() {
        return file;
    }
}
