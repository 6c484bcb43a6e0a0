package clovermill.front;

import clovermill.CacheRouter.Effect;
import clovermill.CacheRouter.RequestClass;
import clovermill.host.Ask;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Turns the fields of a client's request into what the host takes, and says what is wrong with them. */
final class RequestReader {

    /** Fields that no request can be made of. */
    static final class BadRequest extends Exception {

        private static final long serialVersionUID = 1L;

        BadRequest(String message) {
            super(message, null, false, false);
        }
    }

    /** The protocol's largest body of a write. */
    private static final int LARGEST_BODY = 48_000;
    private static final int LAST_PART = 65_535;
    private static final int LAST_GROUP = 255;
    /** A part that takes so many times longer to send than any client waits does not exist. */
    private static final int LONGEST_SENDING = 4;
    /** Of a short wait only this part is kept back: a client in a hurry has none to spare. */
    private static final int MARGIN_PART = 16;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private final Map<String, Integer> classes = new HashMap<>();
    private final long marginUs;
    private List<RequestClass> kinds = List.of();
    private double paceKbPerS;

    /** {@code marginUs} is kept back from the time that a client waits, for the way of its answer. */
    RequestReader(long marginUs) {
        this.marginUs = marginUs;
    }

    /** Reads requests of these classes from now on; the name is null of one that is taken no more. */
    void retune(List<String> names, List<RequestClass> newKinds, double newPaceKbPerS) {
        classes.clear();
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i) != null) {
                classes.put(names.get(i), i);
            }
        }
        kinds = newKinds;
        paceKbPerS = newPaceKbPerS;
    }

    /**
     * Checks every field before anything of the request is kept, told to the module or sent: a cache that
     * cannot read one line closes on all that is open with it, and a figure that is out of range would be
     * learned from.
     */
    Ask read(Map<String, String> fields, byte[] body) throws BadRequest {
        String className = needed(fields, "class");
        Integer index = classes.get(className);
        if (index == null) {
            throw new BadRequest("unknown class");
        }
        RequestClass kind = kinds.get(index);
        String token = word(fields.get("once"));
        if (token == null && kind.effect() == Effect.DEDUPLICATED) {
            throw new BadRequest("once is missing");
        }
        long waitUs = waitUs(fields, kind);
        double longestKb = paceKbPerS > 0 ? LONGEST_SENDING * kind.deadlineUs() / 1e6 * paceKbPerS : Integer.MAX_VALUE;
        String retry = fields.getOrDefault("retry", "0");
        if (waitUs == 0 || body.length > LARGEST_BODY || !retry.equals("0") && !retry.equals("1")) {
            throw new BadRequest("out of range");
        }
        return new Ask(hex(needed(fields, "id")), index, className, hex(needed(fields, "key")),
                whole(fields.getOrDefault("seg", "0"), LAST_PART),
                whole(fields.getOrDefault("bucket", "0"), LAST_GROUP),
                number(fields.getOrDefault("kb", "0"), longestKb), withoutMargin(waitUs),
                retry.equals("1"), token, word(fields.get("etag")), body);
    }

    /** How long a request may wait for its answer, in microseconds; {@link Long#MAX_VALUE} where it names no time. */
    long answerWithinUs(Map<String, String> fields) {
        Integer index = classes.get(fields.get("class"));
        try {
            return index == null ? Long.MAX_VALUE : withoutMargin(waitUs(fields, kinds.get(index)));
        } catch (BadRequest bad) {
            return Long.MAX_VALUE; // it is answered as such when it is taken
        }
    }

    private long withoutMargin(long waitUs) {
        return waitUs - Math.min(marginUs, waitUs / MARGIN_PART);
    }

    private static long waitUs(Map<String, String> fields, RequestClass kind) throws BadRequest {
        return (long) (number(needed(fields, "wait"), kind.deadlineUs() / 1000.0) * 1000);
    }

    private static String needed(Map<String, String> fields, String name) throws BadRequest {
        String value = fields.get(name);
        if (value == null) {
            throw new BadRequest(name + " is missing");
        }
        return value;
    }

    private static String hex(String value) throws BadRequest {
        if (value.length() != 16 || !value.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new BadRequest("not 16 hexadecimal digits");
        }
        return value;
    }

    /** Guards the lines to the caches, into which these words go, against what would end a word or a line. */
    private static String word(String value) throws BadRequest {
        if (value == null || value.isEmpty()) {
            return null;
        }
        if (value.length() > 200 || !value.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '=')) {
            throw new BadRequest("not a plain word");
        }
        return value;
    }

    private static int whole(String value, int most) throws BadRequest {
        double number = number(value, most);
        if (number != Math.rint(number)) {
            throw new BadRequest("not a whole number");
        }
        return (int) number;
    }

    private static double number(String value, double most) throws BadRequest {
        double number = NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        if (number <= most) {
            return number;
        }
        throw new BadRequest("not a number in range");
    }
}
