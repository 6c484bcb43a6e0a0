package clovermill.dataplane.upstream;

import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.ProtocolException;
import java.util.Map;

/** A decoder of response fields in the lines protocol (the protocol page, "Directors to caches"). */
final class ResponseFields {

    private static final Map<String, Note> NOTES = Map.of("HIT", Note.HIT, "MISS", Note.FILLED,
            "MISS_ORIGIN", Note.ORIGIN_ASKED, "COLLAPSED", Note.JOINED, "STALE", Note.STALE,
            "UP_BUSY", Note.SOURCE_REFUSED, "UP_DOWN", Note.SOURCE_UNREACHED, "UP_MISS", Note.SOURCE_LACKS,
            "NO_FILL", Note.NO_PLACE, "ORIGIN_ERR", Note.ORIGIN_FAILED);

    private ResponseFields() {}

    /** Decodes the result word of a response. */
    static Result result(String word) throws ProtocolException {
        return switch (word) {
            case "DONE", "KEEP", "FIT" -> Result.OK;
            case "LACK" -> Result.MISS;
            case "WAIT" -> Result.REFUSED;
            case "BROKE", "UNFIT" -> Result.ERROR;
            case "PAST" -> Result.NOT_SENT;
            default -> throw new ProtocolException("unknown result word in a response");
        };
    }

    /** Decodes a cache status; returns {@link Note#NONE} for null and unknown texts. */
    static Note note(String text) {
        return text == null ? Note.NONE : NOTES.getOrDefault(text, Note.NONE);
    }

    /** Converts a time in milliseconds to microseconds; returns 0 for null. */
    static long timeUs(String ms) throws ProtocolException {
        try {
            return ms == null ? 0 : (long) (Double.parseDouble(ms) * 1000);
        } catch (NumberFormatException e) {
            throw new ProtocolException("invalid time in a response");
        }
    }
}
