package clovermill.controlplane.eventlog.decide;

import clovermill.controlplane.eventlog.decide.EventLog.AppendOutcome;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A client that appends to the log: one call at a time, retried until it is answered, within a session that the log
 * opens (Ongaro, "Consensus: Bridging Theory and Practice", 6.3). A retried call appends its events once. Times are
 * microseconds. Not thread-safe.
 */
public final class AppendClient {

    /** A message to send to a replica. */
    public record Request(int replica, EventLogMessage message) {}

    /** The outcome of a call; {@code token} is the one given to {@link #offer}. */
    public record CallResult(long token, AppendResult result) {}

    private record Call(long token, List<Event> events) {}

    /** The maximum number of queued calls, the one in flight included. */
    public static final int MAX_QUEUED_CALLS = 64;
    /** The maximum size of the events of one call, so that its entry fits a Raft datagram. */
    public static final int MAX_CALL_BYTES = 900;
    private static final long RETRY_INTERVAL_US = 300_000;
    private static final long REDIRECT_DELAY_US = 20_000;

    private final List<Integer> replicas;
    private final Deque<Call> calls = new ArrayDeque<>();
    private long nonce;
    private long session;
    private long callNumber;
    private int target;
    private boolean awaitingAnswer;
    private long nextSendUs;

    /**
     * Creates a client without a session.
     *
     * @param replicas the replicas by number; the one at {@code self} modulo their count is contacted first
     * @param nonce a random number drawn at this start of the process
     */
    public AppendClient(List<Integer> replicas, int self, long nonce) {
        this.replicas = List.copyOf(replicas);
        this.target = self % replicas.size();
        this.nonce = nonce;
    }

    /**
     * Queues a call.
     *
     * @return false if too many are queued, or the call has no events or more than {@link #MAX_CALL_BYTES} of them
     */
    public boolean offer(long token, List<Event> events, long nowUs) {
        boolean fits = !events.isEmpty() && events.stream().mapToInt(Event::bytes).sum() <= MAX_CALL_BYTES;
        if (!fits || calls.size() >= MAX_QUEUED_CALLS) {
            return false;
        }
        if (calls.isEmpty()) {
            nextSendUs = nowUs;
            awaitingAnswer = false;
        }
        calls.addLast(new Call(token, List.copyOf(events)));
        return true;
    }

    /** Returns the message to send now, or null. */
    public Request tick(long nowUs) {
        if (calls.isEmpty() || nowUs < nextSendUs) {
            return null;
        }
        if (awaitingAnswer) {
            target = (target + 1) % replicas.size();
        }
        awaitingAnswer = true;
        nextSendUs = nowUs + RETRY_INTERVAL_US;
        EventLogMessage message = session == 0 ? new EventLogMessage.OpenSession(nonce)
                : new EventLogMessage.Append(session, callNumber, calls.getFirst().events());
        return new Request(replicas.get(target), message);
    }

    /** Returns when {@link #tick} is due next. */
    public long nextUs() {
        return calls.isEmpty() ? Long.MAX_VALUE : nextSendUs;
    }

    /** Starts the session that the log has opened; ignores the answer to an earlier request. */
    public void sessionOpened(EventLogMessage.SessionOpened opened, long nowUs) {
        if (opened.nonce() == nonce && session == 0) {
            session = opened.session();
            callNumber = 1;
            sendNow(nowUs);
        }
    }

    /** Completes the call in flight and returns its outcome, or null if the answer is for another call. */
    public CallResult answered(EventLogMessage.AppendAnswer answered, long nowUs) {
        if (answered.session() != session || answered.call() != callNumber || calls.isEmpty()) {
            return null;
        }
        callNumber++;
        if (answered.result().outcome() != AppendOutcome.APPENDED) {
            session = 0;
            nonce++;
        }
        sendNow(nowUs);
        return new CallResult(calls.removeFirst().token(), answered.result());
    }

    /** Sends the next attempt to the leader named by a replica that is not the leader. */
    public void redirected(EventLogMessage.Redirect redirect, long nowUs) {
        int leader = replicas.indexOf(redirect.leader());
        if (leader >= 0 && leader != target) {
            target = leader;
            awaitingAnswer = false;
            nextSendUs = Math.min(nextSendUs, nowUs + REDIRECT_DELAY_US);
        }
    }

    private void sendNow(long nowUs) {
        awaitingAnswer = false;
        nextSendUs = nowUs;
    }
}
