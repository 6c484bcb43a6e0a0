package clovermill.memory;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded map that forgets what was used longest ago. */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;

    private final int most;

    /** Holds {@code most} entries at most. */
    public LruMap(int most) {
        super(1024, 0.75f, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > most;
    }
}
