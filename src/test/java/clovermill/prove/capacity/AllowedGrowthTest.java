package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class AllowedGrowthTest {

    private static final int ADDED_CACHES = 3000;

    @Test
    void boundAddsFactorConstantAndAmountPerThousandCaches() {
        assertThat(AllowedGrowth.CPU.bound(1, ADDED_CACHES)).isCloseTo(1.4 + 0.02 + 0.36, within(1e-9));
        assertThat(AllowedGrowth.MEMORY.bound(80, ADDED_CACHES)).isCloseTo(120 + 8 + 12, within(1e-9));
        assertThat(AllowedGrowth.DESCRIPTORS.bound(70, ADDED_CACHES)).isCloseTo(180, within(1e-9));
        assertThat(AllowedGrowth.CONNECTIONS.bound(60, ADDED_CACHES)).isCloseTo(190, within(1e-9));
        assertThat(AllowedGrowth.LIST.bound(10, ADDED_CACHES)).isCloseTo(20 + 64 + 1500, within(1e-9));
    }

    @Test
    void onlyServedShareHasALowerBound() {
        assertThat(AllowedGrowth.DESCRIPTORS.allows(70, 180, ADDED_CACHES)).isTrue();
        assertThat(AllowedGrowth.DESCRIPTORS.allows(70, 181, ADDED_CACHES)).isFalse();
        assertThat(AllowedGrowth.SERVED.allows(1, 0.85, ADDED_CACHES)).isTrue();
        assertThat(AllowedGrowth.SERVED.allows(1, 0.84, ADDED_CACHES)).isFalse();
        assertThat(AllowedGrowth.SERVED.text(1, ADDED_CACHES, 2)).isEqualTo("at least 0.85");
        assertThat(AllowedGrowth.DESCRIPTORS.text(70, ADDED_CACHES, 0)).isEqualTo("at most 180");
    }
}
