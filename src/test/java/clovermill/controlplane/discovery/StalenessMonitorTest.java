package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A period without answers is reported once, and its length when it ends. */
class StalenessMonitorTest {

    @Test
    void aStalePeriodIsReportedOnceAndAtItsEnd() {
        StalenessMonitor monitor = new StalenessMonitor(100, 1000);
        assertThat(monitor.nextCheckUs(1000)).isEqualTo(1100);
        assertThat(monitor.becameStale(1099)).isFalse();
        assertThat(monitor.becameStale(1100)).isTrue();
        assertThat(monitor.becameStale(1300)).isFalse();
        assertThat(monitor.nextCheckUs(1300)).isEqualTo(1400);
        assertThat(monitor.answered(1350)).isEqualTo(350);
        assertThat(monitor.answered(1360)).isZero();
        assertThat(monitor.nextCheckUs(1400)).isEqualTo(1460);
        assertThat(monitor.becameStale(1459)).isFalse();
        assertThat(monitor.becameStale(1460)).isTrue();
    }

    @Test
    void aShortPeriodIsNotReported() {
        StalenessMonitor monitor = new StalenessMonitor(100, 0);
        assertThat(monitor.becameStale(99)).isFalse();
        assertThat(monitor.answered(99)).isZero();
    }
}
