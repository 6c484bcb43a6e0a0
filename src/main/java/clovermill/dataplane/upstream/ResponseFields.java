package clovermill.dataplane.upstream;

import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.ProtocolException;
import java.util.Map;

/** A decoder of response fields in the lines protocol (the protocol page, "Directors to caches"). */
final class ResponseFields {

    private static final Map<String, CacheStatus> CACHE_STATUSES =
            Map.of(
                    "HIT", CacheStatus.HIT,
                    "MISS", CacheStatus.FILLED,
                    "MISS_ORIGIN", CacheStatus.FILLED_FROM_ORIGIN,
                    "COLLAPSED", CacheStatus.COLLAPSED,
                    "STALE", CacheStatus.STALE,
                    "UP_BUSY", CacheStatus.SOURCE_REJECTED,
                    "UP_DOWN", CacheStatus.SOURCE_UNREACHABLE,
                    "UP_MISS", CacheStatus.SOURCE_MISS,
                    "NO_FILL", CacheStatus.FILL_LIMIT_REACHED,
                    "ORIGIN_ERR", CacheStatus.ORIGIN_FAILED);

    private ResponseFields() {}

    /** Decodes the result word of a response. */
    static Result result(String word) throws ProtocolException {
        return switch (word) {
            case "DONE", "KEEP", "FIT" -> Result.OK;
            case "LACK" -> Result.MISS;
            case "WAIT" -> Result.REJECTED;
            case "BROKE", "UNFIT" -> Result.ERROR;
            case "PAST" -> Result.NOT_SENT;
            default -> throw new ProtocolException("unknown result word in a response");
        };
    }

    /** Decodes a cache status; returns {@link CacheStatus#NONE} for null and unknown texts. */
    static CacheStatus cacheStatus(String text) {
        return text == null ? CacheStatus.NONE : CACHE_STATUSES.getOrDefault(text, CacheStatus.NONE);
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
