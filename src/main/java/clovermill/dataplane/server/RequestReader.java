package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.LineProtocolWord;
import clovermill.routing.api.Effect;
import clovermill.routing.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses and validates the fields of a client's request. */
final class RequestReader {

    /** Largest write body that the protocol allows. */
    private static final int MAX_BODY_BYTES = 48_000;
    private static final int MAX_PART = 65_535;
    private static final int MAX_GROUP = 255;
    /** Limit of a segment's transfer time, as a multiple of the longest timeout of its class. */
    private static final int MAX_SENDING_RATIO = 4;
    /** Limits the margin to this fraction (1/n) of the client's timeout. */
    private static final int MARGIN_DIVISOR = 16;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private final Map<String, Integer> classIndices = new HashMap<>();
    private final long marginUs;
    private List<RequestClass> requestClasses = List.of();
    private double paceKbPerS;

    /** Creates a reader that subtracts {@code marginUs} from a client's timeout for the transfer of the response. */
    RequestReader(long marginUs) {
        this.marginUs = marginUs;
    }

    /** Sets the classes and the pace in kilobytes per second; a name is null if its class is no longer accepted. */
    void reload(List<String> names, List<RequestClass> newClasses, double newPaceKbPerS) {
        classIndices.clear();
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i) != null) {
                classIndices.put(names.get(i), i);
            }
        }
        requestClasses = newClasses;
        paceKbPerS = newPaceKbPerS;
    }

    /**
     * Validates every field and builds the request. A cache closes a connection with all its exchanges after one
     * malformed line, and a value out of range would distort the statistics.
     */
    ClientRequest read(Map<String, String> fields, byte[] body) throws BadRequestException {
        String className = required(fields, "class");
        Integer index = classIndices.get(className);
        if (index == null) {
            throw new BadRequestException("unknown request class");
        }
        RequestClass requestClass = requestClasses.get(index);
        String idempotencyKey = protocolWord(fields.get("once"));
        if (idempotencyKey == null && requestClass.effect() == Effect.DEDUPLICATED) {
            throw new BadRequestException("once is missing");
        }
        long waitUs = waitUs(fields, requestClass);
        double maxKb = paceKbPerS > 0
                ? MAX_SENDING_RATIO * requestClass.deadlineUs() / 1e6 * paceKbPerS
                : Integer.MAX_VALUE;
        String retry = fields.getOrDefault("retry", "0");
        if (waitUs == 0 || body.length > MAX_BODY_BYTES || !retry.equals("0") && !retry.equals("1")) {
            throw new BadRequestException("a field is out of range");
        }
        return new ClientRequest(hexDigits(required(fields, "id")), index, className,
                hexDigits(required(fields, "key")),
                integer(fields.getOrDefault("seg", "0"), MAX_PART),
                integer(fields.getOrDefault("bucket", "0"), MAX_GROUP),
                number(fields.getOrDefault("kb", "0"), maxKb), withoutMargin(waitUs),
                retry.equals("1"), idempotencyKey, protocolWord(fields.get("etag")), body);
    }

    /** Returns the time until a request's deadline in microseconds, or {@link Long#MAX_VALUE} if it is invalid. */
    long answerWithinUs(Map<String, String> fields) {
        Integer index = classIndices.get(fields.get("class"));
        try {
            return index == null ? Long.MAX_VALUE : withoutMargin(waitUs(fields, requestClasses.get(index)));
        } catch (BadRequestException invalid) {
            return Long.MAX_VALUE; // rejected as invalid when it is processed
        }
    }

    private long withoutMargin(long waitUs) {
        return waitUs - Math.min(marginUs, waitUs / MARGIN_DIVISOR);
    }

    private static long waitUs(Map<String, String> fields, RequestClass requestClass) throws BadRequestException {
        return (long) (number(required(fields, "wait"), requestClass.deadlineUs() / 1000.0) * 1000);
    }

    private static String required(Map<String, String> fields, String name) throws BadRequestException {
        String value = fields.get(name);
        if (value == null) {
            throw new BadRequestException(name + " is missing");
        }
        return value;
    }

    private static String hexDigits(String value) throws BadRequestException {
        if (value.length() != 16 || !value.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new BadRequestException("expected 16 hexadecimal digits");
        }
        return value;
    }

    /** Rejects characters that delimit words or lines in the protocol of the caches. */
    private static String protocolWord(String value) throws BadRequestException {
        if (value == null || value.isEmpty()) {
            return null;
        }
        if (!LineProtocolWord.isValid(value)) {
            throw new BadRequestException("invalid characters in a field");
        }
        return value;
    }

    private static int integer(String value, int max) throws BadRequestException {
        double number = number(value, max);
        if (number != Math.rint(number)) {
            throw new BadRequestException("expected an integer");
        }
        return (int) number;
    }

    private static double number(String value, double max) throws BadRequestException {
        double number = NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        if (number <= max) {
            return number;
        }
        throw new BadRequestException("expected a number in range");
    }
}
