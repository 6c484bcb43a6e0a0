package clovermill.dataplane.upstream;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Ids whose response may still arrive on a connection although no exchange waits for it; they must not be reused. */
final class RecentIds {

    /** Bound of the cancelled ids; a late response must not be taken for that of another attempt. */
    private static final int MAX_CANCELLED = 1000;
    /** An answered id is not reused for this long: a member may send its response twice, some milliseconds apart. */
    private static final long DUPLICATE_WINDOW_MICROS = 50_000;

    private final Set<String> cancelled = new HashSet<>();
    /** Answered ids with the time of the response in microseconds, oldest first. */
    private final Map<String, Long> answeredMicros = new LinkedHashMap<>();

    void addCancelled(String id) {
        cancelled.add(id);
    }

    /** Whether the bound of cancelled ids is reached. */
    boolean isFull() {
        return cancelled.size() >= MAX_CANCELLED;
    }

    /** The late response has arrived. */
    void removeCancelled(String id) {
        cancelled.remove(id);
    }

    void addAnswered(String id, long nowMicros) {
        answeredMicros.put(id, nowMicros);
    }

    boolean contains(String id, long nowMicros) {
        for (Iterator<Long> oldest = answeredMicros.values().iterator(); oldest.hasNext()
                && nowMicros - oldest.next() >= DUPLICATE_WINDOW_MICROS;) {
            oldest.remove();
        }
        return cancelled.contains(id) || answeredMicros.containsKey(id);
    }
}
