package clovermill.controlplane.eventlog.decide;

/**
 * Intervals and timeouts in microseconds, the same in every process.
 *
 * @param heartbeatIntervalUs the interval of a follower's requests to its replica
 * @param replicaTimeoutUs the time without an answer after which a follower switches to another replica
 * @param batchIntervalUs the interval at which a replica sends batches of events to its followers
 * @param proofIntervalUs the interval of a replica's proofs of freshness
 * @param maxStalenessUs the maximum age of a proof: an event acknowledged longer ago is applied wherever the copy is
 *     proven
 * @param returnHomeDelayUs the time that a follower stays with another replica before it tries its home replica again
 * @param drift the bound on the relative error of a duration measured by any clock
 */
public record EventLogTiming(long heartbeatIntervalUs, long replicaTimeoutUs, long batchIntervalUs,
        long proofIntervalUs, long maxStalenessUs, long returnHomeDelayUs,
        double drift) {

    /** The defaults. */
    public static final EventLogTiming DEFAULT =
            new EventLogTiming(400_000, 1_000_000, 250_000, 250_000, 5_000_000, 60_000_000, 0.01);

    /**
     * Creates a timing.
     *
     * @throws IllegalArgumentException if a timeout is too short for the intervals that it depends on
     */
    public EventLogTiming {
        if (replicaTimeoutUs < 2 * heartbeatIntervalUs) {
            throw new IllegalArgumentException(
                    "replicaTimeoutUs: two heartbeats at least, or one lost answer causes a failover");
        }
        if (maxStalenessUs < 3 * replicaTimeoutUs + proofIntervalUs + heartbeatIntervalUs) {
            throw new IllegalArgumentException(
                    "maxStalenessUs: three replicaTimeoutUs, a round and a heartbeat at least");
        }
    }
}
