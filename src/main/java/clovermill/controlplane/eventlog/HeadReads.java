package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The reads of the log's head that other replicas ask of the leader. One query runs at a time; reads that arrive
 * meanwhile are answered by the next, which starts after their arrival. Not thread-safe.
 */
final class HeadReads {

    /** Sends an answer to a replica. */
    interface Sender {
        void send(int to, EventLogMessage message);
    }

    /** Reads that wait; at one more the oldest is dropped, and its replica asks again next round. */
    private static final int MAX_PENDING_READS = 64;

    private record Read(int from, long number) {}

    private final Sender sender;
    private List<Read> pending = new ArrayList<>();
    private boolean running;

    HeadReads(Sender sender) {
        this.sender = sender;
    }

    /** Another replica object has begun: the query of the one before is never answered. */
    void restart() {
        running = false;
    }

    /** Answers read {@code number} of replica {@code from} by a query at the present replica. */
    void add(Supplier<RaftReplica<EventLogStateMachine>> replica, int from, long number) {
        if (pending.size() >= MAX_PENDING_READS) {
            pending.remove(0);
        }
        pending.add(new Read(from, number));
        query(replica);
    }

    private void query(Supplier<RaftReplica<EventLogStateMachine>> replica) {
        if (running || pending.isEmpty()) {
            return;
        }
        List<Read> batch = pending;
        pending = new ArrayList<>();
        running = true;
        RaftReplica<EventLogStateMachine> queried = replica.get();
        queried.query(new EventLogStateMachine.ReadHead(), head -> {
            if (queried == replica.get()) {
                running = false;
                answer(batch, (Long) head);
                query(replica);
            }
        });
    }

    /** A null {@code head}: the query has failed, and its readers ask again next round. */
    private void answer(List<Read> readers, Long head) {
        if (head != null) {
            readers.forEach(
                    read -> sender.send(read.from(), new EventLogMessage.ReadIndexAnswer(read.number(), head)));
        }
    }
}
