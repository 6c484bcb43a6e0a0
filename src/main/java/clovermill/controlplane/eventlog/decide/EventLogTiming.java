package clovermill.controlplane.eventlog.decide;

/**
 * Intervals and timeouts in microseconds, the same in every process.
 *
 * @param heartbeatUs interval of a follower's requests to its replica
 * @param silentUs timeout after which a follower switches to another replica
 * @param batchUs interval in which a replica batches events for its followers
 * @param roundUs interval of a replica's proofs of freshness
 * @param stalenessUs bound on the age of a proof: an event acknowledged longer ago is known wherever the copy is
 *     proven
 * @param homeUs how long a follower stays with another replica before it tries its home replica again
 * @param drift bound on the relative error of a span measured by any clock
 */
public record EventLogTiming(long heartbeatUs, long silentUs, long batchUs, long roundUs, long stalenessUs, long homeUs,
        double drift) {

    /** The figures where settings name none. */
    public static final EventLogTiming DEFAULT =
            new EventLogTiming(400_000, 1_000_000, 250_000, 250_000, 5_000_000, 60_000_000, 0.01);

    /** Checks what must hold between them; throws {@link IllegalArgumentException}. */
    public EventLogTiming {
        if (silentUs < 2 * heartbeatUs) {
            throw new IllegalArgumentException(
                    "silentUs: two heartbeats at least, or one lost answer causes a failover");
        }
        if (stalenessUs < 3 * silentUs + roundUs + heartbeatUs) {
            throw new IllegalArgumentException("stalenessUs: three silentUs, a round and a heartbeat at least");
        }
    }
}
