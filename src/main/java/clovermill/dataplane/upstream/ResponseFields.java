package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.LineProtocolWord;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.ProtocolException;
import java.util.Map;

/**
 * The decoded word and fields of a response in the lines protocol (the protocol page, "Directors to caches").
 *
 * @param result the result of the exchange
 * @param notModified whether the client's own copy is valid
 * @param cacheStatus how the cache found the object; {@link CacheStatus#NONE} if it does not report that
 * @param waitedUs the time until a fill's first byte, in microseconds; 0 if it is not reported
 * @param tag the entity tag of the object; null if there is none that a request could carry
 * @param gauges the load report as text, or null
 */
record ResponseFields(Result result, boolean notModified, CacheStatus cacheStatus, long waitedUs, String tag,
        String gauges) {

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

    /**
     * Decodes a response.
     *
     * @throws ProtocolException if the word is unknown or the time is not a number
     */
    static ResponseFields decode(String word, Map<String, String> fields) throws ProtocolException {
        return new ResponseFields(decodeResult(word), word.equals("KEEP"), decodeCacheStatus(fields.get("res")),
                decodeTimeUs(fields.get("ttfb")), decodeTag(fields.get("etag")), fields.get("gauges"));
    }

    /** Returns null for a tag that no request could carry: the client could not return it. */
    private static String decodeTag(String tag) {
        return tag != null && LineProtocolWord.isValid(tag) ? tag : null;
    }

    private static Result decodeResult(String word) throws ProtocolException {
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
    private static CacheStatus decodeCacheStatus(String text) {
        return text == null ? CacheStatus.NONE : CACHE_STATUSES.getOrDefault(text, CacheStatus.NONE);
    }

    /** Converts a time in milliseconds to microseconds; returns 0 for null. */
    private static long decodeTimeUs(String ms) throws ProtocolException {
        try {
            return ms == null ? 0 : (long) (Double.parseDouble(ms) * 1000);
        } catch (NumberFormatException e) {
            throw new ProtocolException("invalid time in a response");
        }
    }
}
