package clovermill.dataplane.proxy;

/**
 * The words that a field of the lines protocol can carry. Source: the protocol page, "Directors to caches": words are
 * separated by spaces, fields by commas, and a name from its value by an equals sign.
 */
public final class LineProtocolWord {

    private static final int MAX_CHARS = 200;

    private LineProtocolWord() {}

    /** Returns whether {@code text} is at most 200 printable ASCII characters, none of which is a delimiter. */
    public static boolean isValid(String text) {
        return text.length() <= MAX_CHARS && text.chars().allMatch(LineProtocolWord::isValid);
    }

    private static boolean isValid(int character) {
        return character > ' ' && character <= '~' && character != ',' && character != '=';
    }
}
