package clovermill.simulation.adapter;

import java.util.Base64;

/**
 * The fields of one line, separated by single spaces and read in order. Each method reads the next field and throws
 * {@link MalformedInput} if it is missing or of another type; those with a default accept its absence, written as
 * {@code -} or as the end of the line.
 */
final class Fields {

    private static final int MAX_SHOWN_CHARS = 120;

    private final String line;
    private final long number;
    /** Where the next field begins; beyond the line's length when all are read. */
    private int position;

    /** The fields of a line; {@code number} counts lines from 1. */
    Fields(String line, long number) {
        this.line = line;
        this.number = number;
    }

    /** The exception for this line, with a reason. */
    MalformedInput malformed(String reason) {
        String shown = line.length() <= MAX_SHOWN_CHARS ? line : line.substring(0, MAX_SHOWN_CHARS) + "...";
        return new MalformedInput("line " + number + ": " + reason + ": " + shown);
    }

    /** Whether there is a further field. */
    boolean more() {
        return position <= line.length() && !line.isEmpty();
    }

    /** A text. */
    String text() {
        if (!more()) {
            throw malformed("a value is missing");
        }
        int end = line.indexOf(' ', position);
        String field = end < 0 ? line.substring(position) : line.substring(position, end);
        position = end < 0 ? line.length() + 1 : end + 1;
        if (field.isEmpty()) {
            throw malformed("an empty value");
        }
        return field;
    }

    /** A text, or null if it is absent. */
    String optionalText() {
        if (!more()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    /** A decimal number of 64 bits. */
    long integer() {
        return toLong(text());
    }

    /** A decimal number of 64 bits, or a default. */
    long integerOr(long absent) {
        String field = optionalText();
        return field == null ? absent : toLong(field);
    }

    /** A decimal number of 32 bits, or a default. */
    int int32Or(int absent) {
        return toInt(integerOr(absent));
    }

    /** A decimal number of 32 bits. */
    int int32() {
        return toInt(integer());
    }

    /** A floating-point number, or a default. */
    double numberOr(double absent) {
        String field = optionalText();
        try {
            return field == null ? absent : Double.parseDouble(field);
        } catch (NumberFormatException invalid) {
            throw malformed("not a number: " + field);
        }
    }

    /** A flag, 1 or 0. */
    boolean flag() {
        String field = text();
        if (!field.equals("1") && !field.equals("0")) {
            throw malformed("neither 1 nor 0: " + field);
        }
        return field.equals("1");
    }

    /** A hexadecimal number of 64 bits, unsigned, or null if it is absent. */
    Long optionalHex() {
        String field = optionalText();
        return field == null ? null : Long.valueOf(toHex(field));
    }

    /** Bytes as base64, empty if they are absent. */
    byte[] bytes() {
        String field = optionalText();
        try {
            return field == null ? new byte[0] : Base64.getDecoder().decode(field);
        } catch (IllegalArgumentException invalid) {
            throw malformed("not base64: " + field);
        }
    }

    private int toInt(long value) {
        if (value != (int) value) {
            throw malformed("too large: " + value);
        }
        return (int) value;
    }

    private long toLong(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException invalid) {
            throw malformed("not an integer: " + field);
        }
    }

    private long toHex(String field) {
        try {
            return Long.parseUnsignedLong(field, 16);
        } catch (NumberFormatException invalid) {
            throw malformed("not a hexadecimal number: " + field);
        }
    }
}
