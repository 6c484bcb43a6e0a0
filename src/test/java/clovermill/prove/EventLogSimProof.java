package clovermill.prove;

import clovermill.simulation.emulator.eventlog.EventLogFleet;
import clovermill.simulation.emulator.eventlog.FleetMetrics;
import clovermill.simulation.emulator.eventlog.FleetSize;
import clovermill.simulation.emulator.eventlog.Scenario;
import clovermill.simulation.emulator.eventlog.Traffic;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Proof of the event log in the emulator ({@code make prove-event-log-sim}): fault seeds, then the traffic of a
 * director and a replica at several fleet sizes, at 9.1 events a second with 28 bytes of headers per datagram.
 */
public final class EventLogSimProof {

    private static final long SECOND = 1_000_000;
    private static final int MEASURED_S = 20;
    private static final int MOST_BYTES_A_SECOND = 9000;

    private EventLogSimProof() {}

    /** System properties: seeds, and sizes separated by commas. */
    public static void main(String[] args) {
        int seeds = Integer.getInteger("seeds", 1000);
        Scenario faults = new Scenario(new FleetSize(8, 2500, 150, 0.01, 40_000), 100, 9.1, 2);
        List<FleetMetrics> runs =
                LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> EventLogFleet.simulate(faults,
                        seed)).toList();
        for (int i = 0; i < runs.size(); i++) {
            if (!runs.get(i).passes()) {
                System.out.println("seed " + (i + 1) + ": " + runs.get(i));
            }
        }
        boolean again = EventLogFleet.simulate(faults, 1).equals(runs.get(0));
        long broken = runs.stream().filter(run -> !run.passes()).count();
        StringBuilder line = new StringBuilder("prove-event-log-sim: replicas=4 directors=8 seeds=" + seeds + " faults="
                + sum(runs, FleetMetrics::faults) + " events=" + sum(runs, FleetMetrics::events) + " lost="
                + sum(runs, FleetMetrics::lost) + " misordered=" + sum(runs, FleetMetrics::misordered) + " twice="
                + sum(runs, FleetMetrics::duplicated) + " stale=" + sum(runs, FleetMetrics::stale) + " late="
                + sum(runs, FleetMetrics::late) + " seeds_broken=" + broken + " in_force_most_ms="
                + runs.stream().mapToLong(FleetMetrics::maxDeliveryMs).max().orElse(0) + " torn_snapshots="
                + sum(runs, FleetMetrics::tornSnapshots) + " clears=" + sum(runs, FleetMetrics::truncations)
                + " same_again="
                + again);
        boolean holds = broken == 0 && again;
        for (String directors : System.getProperty("sizes", "60,180,540").split(",")) {
            holds &= traffic(Integer.parseInt(directors), line);
        }
        System.out.println(line + " holds=" + holds);
        System.exit(holds ? 0 : 1);
    }

    private static long sum(List<FleetMetrics> runs, ToLongFunction<FleetMetrics> what) {
        return runs.stream().mapToLong(what).sum();
    }

    private static boolean traffic(int directors, StringBuilder line) {
        EventLogFleet fleet = new EventLogFleet(new FleetSize(directors, 600_000, 1_000_000, 0.01, 40_000), 1);
        fleet.run(5 * SECOND);
        fleet.appendEvenly(9.1, (10 + MEASURED_S) * SECOND);
        fleet.run(10 * SECOND);
        int machines = EventLogFleet.REPLICAS + directors;
        List<Traffic> before = IntStream.range(0, machines).mapToObj(fleet::traffic).toList();
        fleet.run((10 + MEASURED_S) * SECOND);
        List<Traffic> spent = IntStream.range(0, machines).mapToObj(each -> fleet.traffic(each).since(before.get(each)))
                .toList();
        List<Traffic> ofDirectors = spent.subList(EventLogFleet.REPLICAS, machines);
        long mostIn = ofDirectors.stream().mapToLong(Traffic::bytesIn).max().orElse(0) / MEASURED_S;
        long mostOut = ofDirectors.stream().mapToLong(Traffic::bytesOut).max().orElse(0) / MEASURED_S;
        long replicaOut = spent.subList(0, EventLogFleet.REPLICAS).stream().mapToLong(Traffic::bytesOut).max()
                .orElse(0) / MEASURED_S;
        long datagrams = spent.subList(0, EventLogFleet.REPLICAS).stream().mapToLong(each -> each.datagramsOut()
                + each.datagramsIn()).max().orElse(0) / MEASURED_S;
        line.append(" n").append(directors).append("_bytes_in_s=").append(mostIn).append(" bytes_out_s=")
                .append(mostOut).append(" replica_bytes_out_s=").append(replicaOut).append(" replica_datagrams_s=")
                .append(datagrams).append(" in_force_most_ms=").append(fleet.metrics().maxDeliveryMs());
        fleet.finish();
        return fleet.metrics().passes() && mostIn <= MOST_BYTES_A_SECOND && mostOut <= MOST_BYTES_A_SECOND;
    }
}
