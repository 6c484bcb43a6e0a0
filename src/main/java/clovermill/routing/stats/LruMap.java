package clovermill.routing.stats;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size that evicts its least recently used entry. Not thread-safe. */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;

    private final int maxEntries;

    /** Creates a map of at most {@code maxEntries}. */
    public LruMap(int maxEntries) {
        super(1024, 0.75f, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
