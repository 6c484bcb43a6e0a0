package clovermill.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A configuration in which any one value is replaced or removed must be either accepted or rejected as malformed. Any
 * other exception would stop the reloading of configurations in a running director.
 */
class ConfigMutationTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> REPLACEMENTS = List.of("null", "true", "-1", "0", "1e300", "\"\"", "\"-\"",
            "\"words\"", "\"1,2,x\"", "[]", "[null]", "[[]]", "[{}]", "[1,\"a\",null]", "{}", "{\"\":{}}",
            "\"9.9.9.9:99999\"");

    /** Adds the tree's text to {@code texts}, once for each value below {@code node} and each replacement. */
    private static void mutate(JsonNode root, JsonNode node, List<String> texts) throws Exception {
        if (node instanceof ObjectNode object) {
            for (String name : names(object)) {
                JsonNode before = object.get(name);
                object.remove(name);
                texts.add(MAPPER.writeValueAsString(root));
                for (String replacement : REPLACEMENTS) {
                    object.set(name, MAPPER.readTree(replacement));
                    texts.add(MAPPER.writeValueAsString(root));
                }
                object.set(name, before);
                mutate(root, before, texts);
            }
        } else if (node instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                JsonNode before = array.get(i);
                for (String replacement : REPLACEMENTS) {
                    array.set(i, MAPPER.readTree(replacement));
                    texts.add(MAPPER.writeValueAsString(root));
                }
                array.set(i, before);
                mutate(root, before, texts);
            }
        }
    }

    private static List<String> names(ObjectNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    void acceptsOrRejectsAsMalformedAnySingleChangedValue() throws Exception {
        String text = Files.readString(Path.of("src/test/resources/director.json")).replaceAll("\\$\\{[^}]*}",
                "127.0.0.1:9");
        Config current = Config.read(text, null);
        JsonNode root = MAPPER.readTree(text);
        List<String> texts = new ArrayList<>();
        mutate(root, root, texts);
        assertThat(texts).hasSizeGreaterThan(1000);
        List<String> faults = new ArrayList<>();
        for (String mutated : texts) {
            try {
                current.checkNext(Config.read(mutated, null));
            } catch (Json.Malformed rejected) {
                continue;
            } catch (RuntimeException fault) {
                faults.add(fault + " for " + mutated);
            }
        }
        assertThat(faults).isEmpty();
    }

    @Test
    void rejectsATextTruncatedAnywhere() throws Exception {
        String text = Files.readString(Path.of("src/test/resources/director.json")).replaceAll("\\$\\{[^}]*}",
                "127.0.0.1:9").strip();
        for (int length = 0; length < text.length(); length++) {
            try {
                Config.read(text.substring(0, length), null);
                assertThat(length).as("accepted although truncated").isEqualTo(text.length());
            } catch (Json.Malformed rejected) {
                continue;
            }
        }
    }
}
