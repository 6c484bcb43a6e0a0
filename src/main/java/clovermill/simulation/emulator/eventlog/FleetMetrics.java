package clovermill.simulation.emulator.eventlog;

/**
 * The measurements of a run.
 *
 * @param events acknowledged events
 * @param maxDeliveryMs longest time from acknowledgement to delivery at a director that was reachable throughout
 * @param provenShare percentage of observations in which a director's copy was proven current
 * @param firstViolation description of the first invariant violation, or null
 * @param digest checksum of all deliveries in order
 */
public record FleetMetrics(int events, int faults, long lost, long misordered, long duplicated, long stale, long late,
        long maxDeliveryMs, long provenShare, int tornSnapshots, long failovers, long truncations,
        String firstViolation, long digest) {

    /** Returns whether no invariant was violated. */
    public boolean passes() {
        return lost + misordered + duplicated + stale + late == 0;
    }
}
