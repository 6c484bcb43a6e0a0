package clovermill.dataplane.proxy;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Note;
import clovermill.routing.api.Result;

/** Carries attempts to members, by whatever protocol those speak. */
public interface Upstream {

    /**
     * One attempt on its way; {@code source} is null where a miss is not to be filled, {@code maxAgeUs} 0 for
     * the class's fresh time.
     */
    record Order(ClientRequest ask, String member, long timeoutUs, String source, int rank, long maxAgeUs, boolean join,
            boolean heldOnly, boolean parentKeepsNone, boolean renew) {}

    /** Told exactly once how an exchange ended, unless it was given up. */
    interface Ending {

        /** Whether the attempt may begin at this moment; asked when its first bytes are about to be written. */
        default boolean mayBegin() {
            return true;
        }

        /** Whether an attempt that has begun may go on; asked each time more of its bytes are about to be written. */
        default boolean mayGoOn() {
            return true;
        }

        /** The member's answer, which follows, brings a report of its load. */
        default void reported(LoadReport load) {}

        /** {@code answer} is set exactly with {@link Result#OK}; the callee owns it. */
        void ended(Result result, Note note, long waitedUs, UpstreamResponse answer);
    }

    /** An attempt that is out. */
    interface Exchange {

        /**
         * Gives it up, after which its ending is not told. Returns true if it may have run, false on proof
         * that nothing of it was sent.
         */
        boolean giveUp();

        /** Whether any of it may have left this process. */
        default boolean begun() {
            return true;
        }

        /** Whether it only waits for the end of this turn, which speaks against no member. */
        default boolean heldHere() {
            return false;
        }
    }

    /** Sends an attempt; the ending may be told before this returns. */
    Exchange send(Order order, Ending ending);

    /** Asks a member whether it is there. */
    void probe(String member, Ending ending);

    /** Closes the idle connections to a member. */
    void closeIdle(String member);
}
