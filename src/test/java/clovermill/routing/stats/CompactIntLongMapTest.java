package clovermill.routing.stats;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The compact map behaves like a sorted map without zeros, and gives back the room of removed keys. */
class CompactIntLongMapTest {

    private static final int KEYS = 40;

    @Property(tries = 300)
    void behavesLikeSortedMap(@ForAll @Size(max = 200) List<@IntRange(max = 1_000_000) Integer> steps) {
        CompactIntLongMap map = new CompactIntLongMap();
        TreeMap<Integer, Long> model = new TreeMap<>();
        for (int step : steps) {
            int key = step % KEYS;
            long value = step / KEYS % 5;
            if (step % 7 == 0) {
                map.replaceAll(each -> each >> 1);
                model.replaceAll((each, old) -> old >> 1);
            } else {
                map.put(key, value);
                model.put(key, value);
            }
            model.values().removeIf(each -> each == 0);
            assertThat(map.size()).isEqualTo(model.size());
            for (int each = -1; each <= KEYS; each++) {
                assertThat(map.get(each)).isEqualTo(model.getOrDefault(each, 0L));
            }
        }
    }

    @Test
    void removedKeysTakeNoMemoryAfterReplacement() {
        CompactIntLongMap map = new CompactIntLongMap();
        assertThat(map.bytes()).isZero();
        for (int key = 0; key < 1000; key++) {
            map.put(key, 1 + key % 2);
        }
        long full = map.bytes();
        assertThat(full).isBetween(12_000L, 24_000L);
        map.replaceAll(value -> value >> 1);
        assertThat(map.size()).isEqualTo(500);
        map.replaceAll(value -> value >> 1);
        assertThat(map.size()).isZero();
        assertThat(map.bytes()).isZero();
    }
}
