package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ReplayWindowTest {

    @Property
    void acceptsEachNumberWithinTheWindowExactlyOnce(
            @ForAll @Size(max = 200) List<@LongRange(min = -100, max = 200) Long> numbers) {
        ReplayWindow window = new ReplayWindow();
        Set<Long> received = new HashSet<>();
        long highest = Long.MIN_VALUE;
        for (long number : numbers) {
            boolean old = highest != Long.MIN_VALUE && highest - number >= 64;
            assertThat(window.accept(1, number)).isEqualTo(!old && !received.contains(number));
            received.add(number);
            highest = Math.max(highest, number);
        }
    }

    @Test
    void hasOneWindowForEachIncarnationAndEvictsTheLeastRecentlyUsedOfFive() {
        ReplayWindow window = new ReplayWindow();
        for (long incarnation = 1; incarnation <= 4; incarnation++) {
            assertThat(window.accept(incarnation, 5)).isTrue();
            assertThat(window.accept(incarnation, 5)).isFalse();
        }
        assertThat(window.accept(1, 6)).isTrue();
        assertThat(window.accept(5, 5)).isTrue();
        assertThat(window.accept(1, 6)).isFalse();
        assertThat(window.accept(2, 5)).isTrue(); // evicted
    }
}
