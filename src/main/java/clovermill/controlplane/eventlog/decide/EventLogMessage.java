package clovermill.controlplane.eventlog.decide;

import java.util.List;

/** What directors and replicas send one another. All may be lost, come late, twice or in another order. */
public sealed interface EventLogMessage {

    /**
     * A follower reports its position, which acknowledges all before it.
     *
     * @param boot the start of the follower's process, a random number
     * @param question its latest question, the moment of which it remembers
     * @param logId the log that its position is of, 0 for none
     * @param position it has applied all up to this
     * @param wantsAnswer whether an answer is wanted at once; else it only acknowledges
     */
    record Follow(long boot, long question, long logId, long position, boolean wantsAnswer)
            implements EventLogMessage {}

    /**
     * A replica answers a follower, or sends on what is new: a range of the log, maybe empty, and its proof.
     *
     * @param boot the follower's
     * @param question the follower's latest that had come
     * @param provenHead all events that were acknowledged before the proof began are up to this; -1 for no proof
     * @param proofAgeUs how long ago the proof began, by the replica's clock
     */
    record Batch(long boot, long question, long logId, long provenHead, long proofAgeUs, LogRange slice)
            implements EventLogMessage {

        /**
         * The most bytes of a batch on the wire beside its entries: headers of IP and UDP, the packet's own, the range,
         * the proof and an order to clear.
         */
        public static final int OVERHEAD = 28 + 41 + 83;

        /** The most bytes on the wire, headers included. */
        public int bytes() {
            int size = OVERHEAD;
            long previous = slice.from();
            for (Entry each : slice.entries()) {
                size += each.bytes(previous);
                previous = each.sequence();
            }
            return size;
        }
    }

    /** A client asks for a session; {@code nonce} identifies its answer. */
    record OpenSession(long nonce) implements EventLogMessage {}

    /** The answer. */
    record SessionOpened(long nonce, long session) implements EventLogMessage {}

    /** A client appends events, as the call of so many of its session. */
    record Append(long session, long call, List<Event> events) implements EventLogMessage {}

    /** The answer. */
    record AppendAnswer(long session, long call, EventLog.AppendResult result) implements EventLogMessage {}

    /** Does not lead; {@code leader} does, as far as is known, or -1. */
    record Redirect(int leader) implements EventLogMessage {}

    /** A replica asks the leader for the head of the log at some moment after this was sent. */
    record ReadIndex(long number) implements EventLogMessage {}

    /** The answer. */
    record ReadIndexAnswer(long number, long head) implements EventLogMessage {}
}
