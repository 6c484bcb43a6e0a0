package clovermill.controlplane.eventlog;

/** The part that a process plays in the event log: replica or director. Times are microseconds of the task's clock. */
interface EventLogRole {

    /** Sends a packet to a process; it may be lost. */
    @FunctionalInterface
    interface Link {
        /** Sends it. */
        void send(int to, Packet packet);
    }

    /** Handles a packet from a process. */
    void receive(int from, Packet packet, long nowUs);

    /** Appends events, or refuses the call, as {@link EventLogTaskMessage.AppendRequested} describes. */
    void append(EventLogTaskMessage.AppendRequested append, long nowUs);

    /** Does what is due; returns when it is to be called again at the latest. */
    long tick(long nowUs);

    /** The last call. */
    void stop(long nowUs);
}
