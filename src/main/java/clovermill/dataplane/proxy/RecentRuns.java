package clovermill.dataplane.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of ended requests that may have run and must not run again. A client gives each request a new id (the
 * protocol page), so a request with one of these ids is the same one again.
 */
final class RecentRuns {

    /** The maximum number of ids, some 110 bytes each; beyond it the id added first is forgotten. */
    static final int MAX_IDS = 4_096;

    private final Map<String, Boolean> ids = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_IDS;
        }
    };

    void add(String requestId) {
        ids.put(requestId, true);
    }

    boolean contains(String requestId) {
        return ids.containsKey(requestId);
    }
}
