package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.util.Map;
import java.util.TreeMap;

/** The streams that a connection has used, kept as ranges: clients count up, so there are few. */
final class StreamNumbers {

    private static final int MOST_RANGES = 1000;

    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    /** Marks a stream as used; false if it was before. */
    boolean use(long stream) throws ProtocolException {
        Map.Entry<Long, Long> below = ranges.floorEntry(stream);
        if (below != null && below.getValue() >= stream) {
            return false;
        }
        long first = below != null && below.getValue() == stream - 1 ? below.getKey() : stream;
        Long last = ranges.remove(stream + 1);
        ranges.put(first, last == null ? stream : last);
        if (ranges.size() > MOST_RANGES) {
            throw new ProtocolException("the streams of a connection are scattered");
        }
        return true;
    }
}
