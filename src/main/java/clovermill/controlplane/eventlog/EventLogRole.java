package clovermill.controlplane.eventlog;

/** The role of a process in the event log: replica or director. Times are microseconds of the task's clock. */
interface EventLogRole {

    /** An unreliable link to the other processes. */
    @FunctionalInterface
    interface Link {
        /** Sends a packet to a process; it may be lost. */
        void send(int to, Packet packet);
    }

    /** Handles a packet from a process. */
    void receive(int from, Packet packet, long nowUs);

    /** Appends events, or rejects the call, as {@link EventLogTaskMessage.AppendRequested} describes. */
    void append(EventLogTaskMessage.AppendRequested append, long nowUs);

    /** Runs due work and returns the latest time of the next call. */
    long tick(long nowUs);

    /** Stops the role; no other method is called afterwards. */
    void stop(long nowUs);
}
