package clovermill.controlplane.eventlog.decide;

/**
 * Lengths of time of all who take part, in microseconds, the same everywhere.
 *
 * @param heartbeatUs how often a follower asks the replica that it follows
 * @param silentUs a replica that has not answered for so long is left for another
 * @param batchUs how long a replica gathers events before it sends them on
 * @param roundUs how often a replica proves its log
 * @param stalenessUs a copy is proven only while all events are known that were acknowledged longer ago than this
 * @param homeUs how long a follower stays with another replica before it tries its own again
 * @param drift by what part of itself a length of time by any clock may be wrong
 */
public record EventLogTiming(long heartbeatUs, long silentUs, long batchUs, long roundUs, long stalenessUs, long homeUs,
        double drift) {

    /** The figures where settings name none. */
    public static final EventLogTiming DEFAULT =
            new EventLogTiming(400_000, 1_000_000, 250_000, 250_000, 5_000_000, 60_000_000, 0.01);

    /** Checks what must hold between them; throws {@link IllegalArgumentException}. */
    public EventLogTiming {
        if (silentUs < 2 * heartbeatUs) {
            throw new IllegalArgumentException("silent: two heartbeats at least, or a lost answer ends a connection");
        }
        if (stalenessUs < 3 * silentUs + roundUs + heartbeatUs) {
            throw new IllegalArgumentException("staleness: three silent times, a round and a heartbeat at least");
        }
    }
}
