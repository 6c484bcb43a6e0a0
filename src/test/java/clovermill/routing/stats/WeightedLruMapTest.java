package clovermill.routing.stats;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The map's weight never passes its bound, and the values that it gives up are the least recently used ones. */
class WeightedLruMapTest {

    private static final long MAX_WEIGHT = 50;
    private static final int KEYS = 20;

    private static final class Value {
        private final int key;
        private long weight = 3;

        Value(int key) {
            this.key = key;
        }
    }

    @Property(tries = 300)
    void evictsLeastRecentlyUsed(@ForAll @Size(max = 200) List<@IntRange(max = 100_000) Integer> steps) {
        WeightedLruMap<Integer, Value> map = new WeightedLruMap<>(MAX_WEIGHT, value -> value.weight);
        List<Value> model = new ArrayList<>(); // the least recently used first
        for (int step : steps) {
            int key = step % KEYS;
            Value value = map.getOrCreate(key, () -> new Value(key));
            model.removeIf(each -> each.key == key);
            model.add(value);
            evict(model);
            long added = Math.max(1 - value.weight, step / KEYS % 13 - 4);
            value.weight += added;
            map.addWeight(added);
            evict(model);
            assertThat(map.size()).isEqualTo(model.size());
            assertThat(map.weight()).isEqualTo(weight(model)).isLessThanOrEqualTo(Math.max(MAX_WEIGHT, value.weight));
        }
        for (Value kept : List.copyOf(model)) {
            assertThat(map.getOrCreate(kept.key, () -> new Value(-1))).isSameAs(kept);
        }
    }

    private static void evict(List<Value> values) {
        while (values.size() > 1 && weight(values) > MAX_WEIGHT) {
            values.remove(0);
        }
    }

    private static long weight(List<Value> values) {
        return values.stream().mapToLong(value -> value.weight).sum();
    }
}
