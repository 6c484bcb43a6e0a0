package clovermill.simulation.emulator.eventlog;

/** What was seen in a run. */
public record FleetMetrics(int events, int faults, long lost, long misordered, long twice, long stale, long late,
        long longestMs, long provenShare, int tornSnapshots, long failovers, long clears, String first,
        long digest) {

    /** Whether no invariant was broken. */
    public boolean holds() {
        return lost + misordered + twice + stale + late == 0;
    }
}
