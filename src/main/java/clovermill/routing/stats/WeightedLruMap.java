package clovermill.routing.stats;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * A map that is bounded by the weight of its values: when their sum passes the bound, it evicts the least recently used
 * ones, but never the most recently used one. Not thread-safe.
 */
public final class WeightedLruMap<K, V> {

    private final Map<K, V> values = new LinkedHashMap<>(16, 0.75f, true);
    private final long maxWeight;
    private final ToLongFunction<V> weigher;
    private long weight;

    /** Creates a map of at most {@code maxWeight}, in the unit of {@code weigher}. */
    public WeightedLruMap(long maxWeight, ToLongFunction<V> weigher) {
        this.maxWeight = maxWeight;
        this.weigher = weigher;
    }

    /** Returns the value of a key, which is the most recently used one now; creates it if there is none. */
    public V getOrCreate(K key, Supplier<V> factory) {
        V value = values.get(key);
        if (value == null) {
            value = factory.get();
            values.put(key, value);
            addWeight(weigher.applyAsLong(value));
        }
        return value;
    }

    /** Changes the weight after the most recently used value has become heavier or, if negative, lighter. */
    public void addWeight(long added) {
        weight += added;
        while (weight > maxWeight && values.size() > 1) {
            evictEldest();
        }
    }

    private void evictEldest() {
        Iterator<V> eldest = values.values().iterator();
        weight -= weigher.applyAsLong(eldest.next());
        eldest.remove();
    }

    /** Returns the sum of the weights of all values. */
    public long weight() {
        return weight;
    }

    /** Returns the number of values. */
    public int size() {
        return values.size();
    }
}
