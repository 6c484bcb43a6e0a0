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

/** A settings file that conforms to its schema; subsystems read their part of it by name. */
public final class SettingsFile {

    /**
     * Thrown for invalid settings; the message is one line with the file, the JSON pointer (RFC 6901) and the reason.
     */
    public static final class InvalidSettingsException extends Exception {

        private static final long serialVersionUID = 1L;

        /**
         * Creates the exception; {@code pointer} is the JSON pointer of the invalid value, empty for the whole file.
         */
        public InvalidSettingsException(String file, String pointer, String reason) {
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

    /** Returns true if a file has the members of a director's configuration rather than those of a settings file. */
    public static boolean isConfiguration(String file) {
        try {
            JsonNode root = JSON.readTree(Files.readString(Path.of(file)));
            return root.has("settings") && root.has("channel");
        } catch (IOException | InvalidPathException unreadable) {
            return false;
        }
    }

    /** Reads and validates a file. */
    public static SettingsFile read(String file) throws InvalidSettingsException {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (NoSuchFileException missing) {
            throw new InvalidSettingsException(file, "", "there is no such file");
        } catch (IOException | InvalidPathException failure) {
            throw new InvalidSettingsException(file, "", "cannot be read: " + failure.getMessage());
        }
        return read(file, text);
    }

    /** Validates a text that was read from {@code file}. */
    public static SettingsFile read(String file, String text) throws InvalidSettingsException {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException bad) {
            throw new InvalidSettingsException(file, "", "no JSON, line " + bad.getLocation().getLineNr() + ", column "
                    + bad.getLocation().getColumnNr() + ": " + bad.getOriginalMessage().lines().findFirst().orElse(""));
        }
        List<Error> errors = schema().validate(text, InputFormat.JSON);
        if (!errors.isEmpty()) {
            Error first = errors.get(0);
            throw new InvalidSettingsException(file, first.getInstanceLocation().toString(), first.getMessage());
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

    /** Returns a subsystem's part of the file, mapped to its settings record; empty if absent. */
    public <T> Optional<T> part(String name, Class<T> type) throws InvalidSettingsException {
        JsonNode node = root.get(name);
        if (node == null || node.isNull()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.treeToValue(node, type));
        } catch (JsonProcessingException bad) {
            throw new InvalidSettingsException(file, "/" + name, bad.getOriginalMessage());
        }
    }

    /** Returns the file name that error messages contain. */
    public String file() {
        return file;
    }
}
