package clovermill.controlplane.eventlog.decide;

import java.util.List;

/**
 * A message of the event log's protocol, between directors and replicas or among replicas. Messages may be lost,
 * delayed, duplicated or reordered. Durations are microseconds.
 */
public sealed interface EventLogMessage {

    /** A message that replicas receive. */
    sealed interface ToReplica extends EventLogMessage {
        /** Calls the handler's method for this message. */
        <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X;
    }

    /** A message that directors receive. */
    sealed interface ToDirector extends EventLogMessage {
        /** Calls the handler's method for this message. */
        <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X;
    }

    /**
     * Handles each message that a replica receives.
     *
     * @param <X> the checked exception of its methods
     */
    interface ReplicaHandler<X extends Exception> {
        /** Handles a follower's report of its position. */
        void follow(Follow follow) throws X;

        /** Handles a client's request for a session. */
        void openSession(OpenSession open) throws X;

        /** Handles a client's append of events. */
        void append(Append append) throws X;

        /** Handles a replica's request to the leader for the head of the log. */
        void readIndex(ReadIndex read) throws X;

        /** Handles the leader's answer to a {@link ReadIndex}. */
        void readIndexAnswer(ReadIndexAnswer answer) throws X;
    }

    /**
     * Handles each message that a director receives.
     *
     * @param <X> the checked exception of its methods
     */
    interface DirectorHandler<X extends Exception> {
        /** Handles a range of the log from a replica. */
        void batch(Batch batch) throws X;

        /** Handles the answer to a request for a session. */
        void sessionOpened(SessionOpened opened) throws X;

        /** Handles the answer to an append. */
        void appendAnswer(AppendAnswer answer) throws X;

        /** Handles the answer of a replica that is not the leader. */
        void redirect(Redirect redirect) throws X;
    }

    /**
     * A follower's report of its position, which acknowledges all entries up to it.
     *
     * @param incarnation the follower's process incarnation, a random number drawn at its start
     * @param requestId the number of this request; the follower remembers when it sent it
     * @param logId the log of the position, 0 for none
     * @param position the sequence number up to which all entries have been applied
     * @param wantsAnswer true to request a {@link Batch} at once, false to acknowledge only
     */
    record Follow(long incarnation, long requestId, long logId, long position, boolean wantsAnswer)
            implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.follow(this);
        }
    }

    /**
     * A range of the log, possibly empty, and a proof of freshness: an answer to a follower, or a push of new entries.
     *
     * @param incarnation the follower's process incarnation
     * @param requestId the follower's latest request that the replica has received
     * @param provenHead the highest sequence number of any event acknowledged before the proof began; -1: no proof
     * @param proofAgeUs the time since the proof began, by the replica's clock
     */
    record Batch(long incarnation, long requestId, long logId, long provenHead, long proofAgeUs, LogRange range)
            implements ToDirector {

        /**
         * The maximum size of a batch on the wire without its entries: IP and UDP headers, the packet's envelope, and
         * the range, proof and truncated prefix.
         */
        public static final int OVERHEAD_BYTES = 28 + 41 + 83;

        /** Returns the maximum size on the wire, headers included. */
        public int bytes() {
            int size = OVERHEAD_BYTES;
            long previous = range.from();
            for (Entry each : range.entries()) {
                size += each.bytes(previous);
                previous = each.sequence();
            }
            return size;
        }

        @Override
        public <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X {
            handler.batch(this);
        }
    }

    /** A client's request for a session; {@code nonce} identifies the answer. */
    record OpenSession(long nonce) implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.openSession(this);
        }
    }

    /** The answer to {@link OpenSession}. */
    record SessionOpened(long nonce, long session) implements ToDirector {
        @Override
        public <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X {
            handler.sessionOpened(this);
        }
    }

    /** A client's append of events; {@code call} numbers the calls of its session from 1. */
    record Append(long session, long call, List<Event> events) implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.append(this);
        }
    }

    /** The answer to {@link Append}. */
    record AppendAnswer(long session, long call, EventLog.AppendResult result) implements ToDirector {
        @Override
        public <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X {
            handler.appendAnswer(this);
        }
    }

    /** The answer of a replica that is not the leader; {@code leader} is the leader that it knows of, or -1. */
    record Redirect(int leader) implements ToDirector {
        @Override
        public <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X {
            handler.redirect(this);
        }
    }

    /** A replica's request to the leader for the head of the log, read after this was sent (Raft's ReadIndex). */
    record ReadIndex(long number) implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.readIndex(this);
        }
    }

    /** The answer to {@link ReadIndex}. */
    record ReadIndexAnswer(long number, long head) implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.readIndexAnswer(this);
        }
    }
}
