package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The reads of the log's head that replicas request from the leader. One query runs at a time; reads that arrive in the
 * meantime are answered by the next, which starts after their arrival. Not thread-safe.
 */
final class HeadReads {

    /** Sends an answer to a replica. */
    interface Sender {
        void send(int to, EventLogMessage message);
    }

    /** The maximum number of queued reads; the oldest is dropped, and its replica retries in its next round. */
    private static final int MAX_PENDING_READS = 64;

    private record Read(int from, long number) {}

    private final Sender sender;
    private List<Read> pending = new ArrayList<>();
    private boolean running;

    HeadReads(Sender sender) {
        this.sender = sender;
    }

    /** Abandons the query of the previous replica object, which is never answered, after another has started. */
    void restart() {
        running = false;
    }

    /** Queues read {@code number} of replica {@code from}, to be answered by a query at the current replica. */
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

    /** Answers a batch of reads. If the query failed, {@code head} is null and the replicas retry in the next round. */
    private void answer(List<Read> readers, Long head) {
        if (head != null) {
            readers.forEach(
                    read -> sender.send(read.from(), new EventLogMessage.ReadIndexAnswer(read.number(), head)));
        }
    }
}
