package clovermill.dataplane.upstream;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Ids under which an answer may still come on a connection though nobody waits for it; no request may take one. */
final class RecentIds {

    /** Given-up ids that are remembered, lest a late answer be taken for that of a further attempt. */
    private static final int MOST_ABANDONED = 1000;
    /** For so long an id is not used again after its answer: a second copy comes some milliseconds late. */
    private static final long SECOND_COPY_US = 50_000;

    private final Set<String> abandoned = new HashSet<>();
    /** When each was answered, the eldest first. */
    private final Map<String, Long> answered = new LinkedHashMap<>();

    void abandon(String id) {
        abandoned.add(id);
    }

    /** Whether no more can be remembered. */
    boolean full() {
        return abandoned.size() >= MOST_ABANDONED;
    }

    /** The late answer has come. */
    void late(String id) {
        abandoned.remove(id);
    }

    void answered(String id, long nowUs) {
        answered.put(id, nowUs);
    }

    boolean contains(String id, long nowUs) {
        for (Iterator<Long> eldest = answered.values().iterator(); eldest.hasNext()
                && nowUs - eldest.next() >= SECOND_COPY_US;) {
            eldest.remove();
        }
        return abandoned.contains(id) || answered.containsKey(id);
    }
}
