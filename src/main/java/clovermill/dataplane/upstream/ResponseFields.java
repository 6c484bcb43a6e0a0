package clovermill.dataplane.upstream;

import clovermill.routing.api.Note;
import clovermill.routing.api.Result;
import clovermill.runtime.net.ProtocolException;
import java.util.Map;

/** What the words of the lines protocol's answers mean (the protocol page, "Directors to caches"). */
final class ResponseFields {

    private static final Map<String, Note> NOTES = Map.of("HIT", Note.HIT, "MISS", Note.FILLED,
            "MISS_ORIGIN", Note.ORIGIN_ASKED, "COLLAPSED", Note.JOINED, "STALE", Note.STALE,
            "UP_BUSY", Note.SOURCE_REFUSED, "UP_DOWN", Note.SOURCE_UNREACHED, "UP_MISS", Note.SOURCE_LACKS,
            "NO_FILL", Note.NO_PLACE, "ORIGIN_ERR", Note.ORIGIN_FAILED);

    private ResponseFields() {}

    static Result result(String word) throws ProtocolException {
        return switch (word) {
            case "DONE", "KEEP", "FIT" -> Result.OK;
            case "LACK" -> Result.MISS;
            case "WAIT" -> Result.REFUSED;
            case "BROKE", "UNFIT" -> Result.ERROR;
            case "PAST" -> Result.NOT_SENT;
            default -> throw new ProtocolException("an unknown word in an answer");
        };
    }

    /** The note of an answer; {@code text} may be null. */
    static Note note(String text) {
        return text == null ? Note.NONE : NOTES.getOrDefault(text, Note.NONE);
    }

    /** A time in milliseconds as microseconds; 0 where none is told. */
    static long micros(String millis) throws ProtocolException {
        try {
            return millis == null ? 0 : (long) (Double.parseDouble(millis) * 1000);
        } catch (NumberFormatException e) {
            throw new ProtocolException("not a time in an answer");
        }
    }
}
