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
    private static final long DUPLICATE_WINDOW_US = 50_000;

    private final Set<String> cancelled = new HashSet<>();
    /** Answered ids with the time of the response in microseconds, oldest first. */
    private final Map<String, Long> answeredUs = new LinkedHashMap<>();

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

    void addAnswered(String id, long nowUs) {
        answeredUs.put(id, nowUs);
    }

    boolean contains(String id, long nowUs) {
        for (Iterator<Long> oldest = answeredUs.values().iterator(); oldest.hasNext()
                && nowUs - oldest.next() >= DUPLICATE_WINDOW_US;) {
            oldest.remove();
        }
        return cancelled.contains(id) || answeredUs.containsKey(id);
    }
}
