package clovermill.controlplane.eventlog.decide;

import java.util.List;

/**
 * The messages of the event log's protocol, between directors and replicas and among replicas. Each may be lost,
 * delayed, duplicated or reordered. Lengths of time are microseconds.
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
        /** A follower reports its position. */
        void follow(Follow follow) throws X;

        /** A client opens a session. */
        void openSession(OpenSession open) throws X;

        /** A client appends events. */
        void append(Append append) throws X;

        /** Another replica asks the leader for the head of the log. */
        void readIndex(ReadIndex read) throws X;

        /** The leader answers a {@link ReadIndex}. */
        void readIndexAnswer(ReadIndexAnswer answer) throws X;
    }

    /**
     * Handles each message that a director receives.
     *
     * @param <X> the checked exception of its methods
     */
    interface DirectorHandler<X extends Exception> {
        /** A replica sends a range of the log. */
        void batch(Batch batch) throws X;

        /** A session was opened for this client. */
        void sessionOpened(SessionOpened opened) throws X;

        /** An append was answered. */
        void appendAnswer(AppendAnswer answer) throws X;

        /** The replica that was asked does not lead. */
        void redirect(Redirect redirect) throws X;
    }

    /**
     * A follower reports its position, which acknowledges all entries up to it.
     *
     * @param incarnation the follower's process incarnation, a random number drawn at its start
     * @param requestId the follower's latest request; the follower remembers when it sent it
     * @param logId the log of the position, 0 for none
     * @param position all entries up to this sequence number have been applied
     * @param wantsAnswer whether a {@link Batch} is wanted at once; otherwise this only acknowledges
     */
    record Follow(long incarnation, long requestId, long logId, long position, boolean wantsAnswer)
            implements ToReplica {
        @Override
        public <X extends Exception> void dispatch(ReplicaHandler<X> handler) throws X {
            handler.follow(this);
        }
    }

    /**
     * A replica answers a follower or pushes new entries: a range of the log, maybe empty, and a proof of freshness.
     *
     * @param incarnation the follower's process incarnation
     * @param requestId the follower's latest request that the replica has received
     * @param provenHead every event acknowledged before the proof began has at most this sequence number; -1: no proof
     * @param proofAgeUs how long ago the proof began, by the replica's clock
     */
    record Batch(long incarnation, long requestId, long logId, long provenHead, long proofAgeUs, LogRange range)
            implements ToDirector {

        /**
         * The most bytes of a batch on the wire beside its entries: headers of IP and UDP, the packet's own, the range,
         * the proof and a truncated prefix.
         */
        public static final int OVERHEAD_BYTES = 28 + 41 + 83;

        /** The most bytes on the wire, headers included. */
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

    /** A client asks for a session; {@code nonce} identifies the answer. */
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

    /** A client appends events; {@code call} numbers the calls of its session from 1. */
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

    /** The sender does not lead; {@code leader} is the leader that it knows of, or -1. */
    record Redirect(int leader) implements ToDirector {
        @Override
        public <X extends Exception> void dispatch(DirectorHandler<X> handler) throws X {
            handler.redirect(this);
        }
    }

    /** A replica asks the leader for the head of the log, read after this was sent (Raft's ReadIndex). */
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
