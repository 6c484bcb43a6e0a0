package clovermill.simulation.emulator.eventlog;

/** The measurements of a run; {@code digest} is over all deliveries in order. */
public record FleetMetrics(int events, int faults, long lost, long misordered, long duplicated, long stale, long late,
        long longestMs, long provenShare, int tornSnapshots, long failovers, long truncations, String firstViolation,
        long digest) {

    /** Whether no invariant was broken. */
    public boolean holds() {
        return lost + misordered + duplicated + stale + late == 0;
    }
}
