package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.util.Map;
import java.util.TreeMap;

/** The set of stream numbers used on a connection, stored as ranges, which are few because clients count up. */
final class StreamNumbers {

    private static final int MAX_RANGES = 1000;

    /** Maps the first number of each range to its last. */
    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    /** Adds a number; returns false if it was used before. Throws if there are too many gaps in the numbers. */
    boolean markUsed(long stream) throws ProtocolException {
        Map.Entry<Long, Long> below = ranges.floorEntry(stream);
        if (below != null && below.getValue() >= stream) {
            return false;
        }
        long first = below != null && below.getValue() == stream - 1 ? below.getKey() : stream;
        Long last = ranges.remove(stream + 1);
        ranges.put(first, last == null ? stream : last);
        if (ranges.size() > MAX_RANGES) {
            throw new ProtocolException("too many gaps in the stream numbers of a connection");
        }
        return true;
    }
}
