package clovermill.simulation.adapter;

import java.util.Base64;

/**
 * The fields of one line, separated by single spaces and read in order. Each method reads the next field and throws
 * {@link MalformedInput} if it is missing or of another type; methods with a default, and those named optional, also
 * accept {@code -} or the end of the line in place of a field.
 */
final class Fields {

    private static final int MAX_SHOWN_CHARS = 120;

    private final String line;
    private final long number;
    /** The index of the next field; beyond the end of the line once all fields are read. */
    private int position;

    /** Creates the fields of a line; {@code number} counts lines from 1. */
    Fields(String line, long number) {
        this.line = line;
        this.number = number;
    }

    /** Returns an exception for this line with a reason. */
    MalformedInput malformed(String reason) {
        String shown = line.length() <= MAX_SHOWN_CHARS ? line : line.substring(0, MAX_SHOWN_CHARS) + "...";
        return new MalformedInput("line " + number + ": " + reason + ": " + shown);
    }

    /** Returns whether there is another field. */
    boolean hasNext() {
        return position <= line.length() && !line.isEmpty();
    }

    /** Reads a text. */
    String text() {
        if (!hasNext()) {
            throw malformed("missing value");
        }
        int end = line.indexOf(' ', position);
        String field = end < 0 ? line.substring(position) : line.substring(position, end);
        position = end < 0 ? line.length() + 1 : end + 1;
        if (field.isEmpty()) {
            throw malformed("empty value");
        }
        return field;
    }

    /** Reads a text, or null if it is absent. */
    String optionalText() {
        if (!hasNext()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    /** Reads a decimal integer of 64 bits. */
    long int64() {
        return toLong(text());
    }

    /** Reads a decimal integer of 64 bits, or returns a default if it is absent. */
    long int64OrDefault(long defaultValue) {
        String field = optionalText();
        return field == null ? defaultValue : toLong(field);
    }

    /** Reads a decimal integer of 32 bits, or returns a default if it is absent. */
    int int32OrDefault(int defaultValue) {
        return toInt(int64OrDefault(defaultValue));
    }

    /** Reads a decimal integer of 32 bits. */
    int int32() {
        return toInt(int64());
    }

    /** Reads a floating-point number, or returns a default if it is absent. */
    double numberOrDefault(double defaultValue) {
        String field = optionalText();
        try {
            return field == null ? defaultValue : Double.parseDouble(field);
        } catch (NumberFormatException invalid) {
            throw malformed("not a number: " + field);
        }
    }

    /** Reads a flag, 1 or 0. */
    boolean flag() {
        String field = text();
        if (!field.equals("1") && !field.equals("0")) {
            throw malformed("expected 0 or 1: " + field);
        }
        return field.equals("1");
    }

    /** Reads an unsigned hexadecimal integer of 64 bits, or returns null if it is absent. */
    Long optionalHex() {
        String field = optionalText();
        return field == null ? null : Long.valueOf(toHex(field));
    }

    /** Reads base64-encoded bytes; returns none if they are absent. */
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
            throw malformed("out of the 32-bit range: " + value);
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
