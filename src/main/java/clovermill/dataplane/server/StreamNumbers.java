package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.util.Map;
import java.util.TreeMap;

/** The set of stream numbers used on a connection, stored as ranges: clients count up, so there are few. */
final class StreamNumbers {

    private static final int MAX_RANGES = 1000;

    /** First number of each range -> its last. */
    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    /** Adds a number; false if it was used before. Fails if the numbers do not count up. */
    boolean markUsed(long stream) throws ProtocolException {
        Map.Entry<Long, Long> below = ranges.floorEntry(stream);
        if (below != null && below.getValue() >= stream) {
            return false;
        }
        long first = below != null && below.getValue() == stream - 1 ? below.getKey() : stream;
        Long last = ranges.remove(stream + 1);
        ranges.put(first, last == null ? stream : last);
        if (ranges.size() > MAX_RANGES) {
            throw new ProtocolException("the streams of a connection are scattered");
        }
        return true;
    }
}
