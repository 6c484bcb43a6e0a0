package clovermill.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as maps, lists, strings, doubles, booleans and null, read by Jackson's streaming parser. */
public final class Json {

    /** Thrown for text that is not JSON or lacks an expected member. */
    public static final class Malformed extends Exception {

        private static final long serialVersionUID = 1L;

        /** Creates the exception; {@code message} is one line that names the field and the reason. */
        public Malformed(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MAX_NESTING_DEPTH = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build()).build();

    private Json() {}

    /** Parses a complete text as one value. */
    public static Object parse(String text) throws Malformed {
        try (JsonParser parser = FACTORY.createParser(text)) {
            Object value = value(parser, parser.nextToken());
            if (parser.nextToken() != null) {
                throw new Malformed("JSON, at " + parser.currentTokenLocation().getCharOffset()
                        + ": more follows the value");
            }
            return value;
        } catch (JsonProcessingException bad) {
            throw new Malformed("JSON, at " + (bad.getLocation() == null ? 0 : bad.getLocation().getCharOffset())
                    + ": " + bad.getOriginalMessage().lines().findFirst().orElse("not readable"));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // the parser reads from memory
        }
    }

    /** Returns the value that begins with {@code token}; a null token means that the text is empty. */
    private static Object value(JsonParser parser, JsonToken token) throws IOException, Malformed {
        if (token == null) {
            throw new Malformed("JSON, at 0: the text is empty");
        }
        switch (token) {
            case START_OBJECT:
                Map<String, Object> object = new LinkedHashMap<>();
                for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                    object.put(name, value(parser, parser.nextToken()));
                }
                return object;
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                for (JsonToken next = parser.nextToken(); next != JsonToken.END_ARRAY; next = parser.nextToken()) {
                    list.add(value(parser, next));
                }
                return list;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE, VALUE_FALSE:
                return parser.getBooleanValue();
            default:
                return null;
        }
    }

    /** Returns a member that must be an object. */
    public static Map<?, ?> object(Map<?, ?> object, String name) throws Malformed {
        return member(object, name, Map.class, "an object");
    }

    /** Returns a member that must be a list. */
    public static List<?> list(Map<?, ?> object, String name) throws Malformed {
        return member(object, name, List.class, "a list");
    }

    /** Returns a value that must be an object. */
    public static Map<?, ?> object(Object value) throws Malformed {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new Malformed("an object was expected");
    }

    /** Returns a member that must be a string. */
    public static String string(Map<?, ?> object, String name) throws Malformed {
        return member(object, name, String.class, "a string");
    }

    /** Returns a member that must be a number. */
    public static double number(Map<?, ?> object, String name) throws Malformed {
        return member(object, name, Double.class, "a number");
    }

    private static <T> T member(Map<?, ?> object, String name, Class<T> type, String expected) throws Malformed {
        Object value = object.get(name);
        if (type.isInstance(value)) {
            return type.cast(value);
        }
        throw new Malformed(expected + " was expected: " + name);
    }
}
