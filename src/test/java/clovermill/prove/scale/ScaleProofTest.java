package clovermill.prove.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/**
 * A short scale run: two small fleets of hollow directors in separate processes, over links with delay and loss. Checks
 * counts of messages and bytes and what is in force, but no times.
 */
class ScaleProofTest {

    private static final String RATE = "9.1";
    /** With the delays of the full run, 80 ms between voters, an election takes up to half a minute. */
    private static final double SHORT_DELAYS = 0.1;
    /** The size of an empty gossip message, or of a lease request or response, with headers. */
    private static final int MIN_DATAGRAM_BYTES = 70;
    private static final int MAX_DATAGRAM_BYTES = 1_400 + LinkEmulator.HEADER_BYTES;

    @Test
    void deliversEventsAndPolicyToAllHollowDirectorsAndCountsDatagrams() throws Exception {
        ResultTable table = new ResultTable();
        TickProbe probe = new TickProbe();
        probe.start();
        List<Integer> sizes = List.of(6, 12);
        for (int size : sizes) {
            try (Cluster cluster = new Cluster(new Cluster.Shape(size, 0, 0, 0, 6, 0.01, SHORT_DELAYS), 5)) {
                new ScaleRun(cluster, new ScaleRun.Schedule(List.of(9.1), 500, 1_500, 0, 1, false), table, probe, 5)
                        .run();
            }
        }
        for (int size : sizes) {
            assertThat(value(table, "hollow", size, "events")).isPositive();
            assertThat(value(table, "hollow", size, "lost")).isZero();
            assertThat(value(table, "change", size, "0", "changes")).isEqualTo(1);
            assertThat(value(table, "discovery", size, "connections_most")).isEqualTo(size);
            assertThat(value(table, "link", size, "faults")).isZero();
            checkTraffic(table, size);
        }
    }

    private static void checkTraffic(ResultTable table, int size) {
        double out = value(table, "hollow", size, "datagrams_out");
        double payload = value(table, "hollow", size, "fleet_bytes_out")
                + value(table, "hollow", size, "accord_bytes_out");
        assertThat(payload / out).isBetween((double) MIN_DATAGRAM_BYTES, (double) MAX_DATAGRAM_BYTES);
        assertThat(value(table, "hollow", size, "bytes_out")).isGreaterThan(payload);
        assertThat(value(table, "hollow", size, "datagrams_in")).isPositive();
        assertThat(value(table, "voter", size, "accord_datagrams_in_most"))
                .isGreaterThan(value(table, "hollow", size, "accord_bytes_in") / MAX_DATAGRAM_BYTES);
    }

    private static double value(ResultTable table, String kind, int size, String metric) {
        return value(table, kind, size, RATE, metric);
    }

    private static double value(ResultTable table, String kind, int size, String rate, String metric) {
        OptionalDouble value = table.value(kind, size, rate, metric);
        assertThat(value).as("%s %s at %s", kind, metric, size).isPresent();
        return value.getAsDouble();
    }
}
