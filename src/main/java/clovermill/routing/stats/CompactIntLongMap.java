package clovermill.routing.stats;

import java.util.Arrays;
import java.util.function.LongUnaryOperator;

/**
 * A map from int keys to long values, none of which is 0, in two sorted arrays: for maps that are many and mostly
 * small. Not thread-safe.
 */
public final class CompactIntLongMap {

    private static final int[] NO_KEYS = {};
    private static final long[] NO_VALUES = {};
    private static final int FIRST_CAPACITY = 2;
    /** Bytes of an array's header, rounded up with its elements to a multiple of eight. */
    private static final int ARRAY_HEADER_BYTES = 16;

    private int[] keys = NO_KEYS;
    private long[] values = NO_VALUES;
    private int size;

    /** Returns the value of a key, or 0 if there is none. */
    public long get(int key) {
        int index = indexOf(key);
        return index < 0 ? 0 : values[index];
    }

    /** Sets the value of a key; 0 removes the key. */
    public void put(int key, long value) {
        int index = indexOf(key);
        if (value == 0) {
            remove(index);
        } else if (index >= 0) {
            values[index] = value;
        } else {
            insert(-index - 1, key, value);
        }
    }

    private int indexOf(int key) {
        return Arrays.binarySearch(keys, 0, size, key);
    }

    private void remove(int index) {
        if (index >= 0) {
            size--;
            System.arraycopy(keys, index + 1, keys, index, size - index);
            System.arraycopy(values, index + 1, values, index, size - index);
        }
    }

    private void insert(int index, int key, long value) {
        if (size == keys.length) {
            setCapacity(Math.max(FIRST_CAPACITY, size + (size >> 1) + 1));
        }
        System.arraycopy(keys, index, keys, index + 1, size - index);
        System.arraycopy(values, index, values, index + 1, size - index);
        keys[index] = key;
        values[index] = value;
        size++;
    }

    /** Replaces each value; removes the keys whose new value is 0, and the room of many removed ones. */
    public void replaceAll(LongUnaryOperator replacement) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            long value = replacement.applyAsLong(values[i]);
            if (value != 0) {
                keys[kept] = keys[i];
                values[kept++] = value;
            }
        }
        size = kept;
        if (2 * size < keys.length) {
            setCapacity(size);
        }
    }

    private void setCapacity(int capacity) {
        keys = capacity == 0 ? NO_KEYS : Arrays.copyOf(keys, capacity);
        values = capacity == 0 ? NO_VALUES : Arrays.copyOf(values, capacity);
    }

    /** Returns the number of keys. */
    public int size() {
        return size;
    }

    /** Returns the bytes of heap that the keys and values take, without this object itself. */
    public long bytes() {
        return keys.length == 0 ? 0
                : 2 * ARRAY_HEADER_BYTES + (long) keys.length * (Integer.BYTES + Long.BYTES);
    }
}
