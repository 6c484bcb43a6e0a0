package clovermill.simulation.adapter;

import java.util.Base64;

/** The fields of one line, taken one after another. */
final class Fields {

    private final String line;
    private final long number;
    private int at;

    Fields(String line, long number) {
        this.line = line;
        this.number = number;
    }

    MalformedInput malformed(String what) {
        String shown = line.length() <= 120 ? line : line.substring(0, 120) + "...";
        return new MalformedInput("line " + number + ": " + what + ": " + shown);
    }

    boolean more() {
        return at <= line.length() && !line.isEmpty();
    }

    /** The next field, which must be there. */
    String text() {
        if (!more()) {
            throw malformed("a value is missing");
        }
        int end = line.indexOf(' ', at);
        String field = end < 0 ? line.substring(at) : line.substring(at, end);
        at = end < 0 ? line.length() + 1 : end + 1;
        if (field.isEmpty()) {
            throw malformed("an empty value");
        }
        return field;
    }

    /** The next field, or null if it is absent. */
    String optionalText() {
        if (!more()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    long integer() {
        return toLong(text());
    }

    long integerOr(long absent) {
        String field = optionalText();
        return field == null ? absent : toLong(field);
    }

    int smallOr(int absent) {
        return toInt(integerOr(absent));
    }

    int small() {
        return toInt(integer());
    }

    double numberOr(double absent) {
        String field = optionalText();
        try {
            return field == null ? absent : Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + field);
        }
    }

    boolean flag() {
        String field = text();
        if (!field.equals("1") && !field.equals("0")) {
            throw malformed("neither 1 nor 0: " + field);
        }
        return field.equals("1");
    }

    long hex() {
        return toHex(text());
    }

    Long optionalHex() {
        String field = optionalText();
        return field == null ? null : Long.valueOf(toHex(field));
    }

    byte[] bytes() {
        String field = optionalText();
        try {
            return field == null ? new byte[0] : Base64.getDecoder().decode(field);
        } catch (IllegalArgumentException e) {
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
        } catch (NumberFormatException e) {
            throw malformed("not a whole number: " + field);
        }
    }

    private long toHex(String field) {
        try {
            return Long.parseUnsignedLong(field, 16);
        } catch (NumberFormatException e) {
            throw malformed("not a hexadecimal number: " + field);
        }
    }
}
