package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A silence is told once, and its length at its end. */
class StalenessMonitorTest {

    @Test
    void itIsToldOnceAndAtItsEnd() {
        StalenessMonitor silence = new StalenessMonitor(100, 1000);
        assertThat(silence.nextLookUs(1000)).isEqualTo(1100);
        assertThat(silence.tooLong(1099)).isFalse();
        assertThat(silence.tooLong(1100)).isTrue();
        assertThat(silence.tooLong(1300)).isFalse();
        assertThat(silence.nextLookUs(1300)).isEqualTo(1400);
        assertThat(silence.heard(1350)).isEqualTo(350);
        assertThat(silence.heard(1360)).isZero();
        assertThat(silence.nextLookUs(1400)).isEqualTo(1460);
        assertThat(silence.tooLong(1459)).isFalse();
        assertThat(silence.tooLong(1460)).isTrue();
    }

    @Test
    void aShortOneIsNotTold() {
        StalenessMonitor silence = new StalenessMonitor(100, 0);
        assertThat(silence.tooLong(99)).isFalse();
        assertThat(silence.heard(99)).isZero();
    }
}
