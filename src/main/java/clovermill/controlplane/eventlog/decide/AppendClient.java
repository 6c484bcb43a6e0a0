package clovermill.controlplane.eventlog.decide;

import clovermill.controlplane.eventlog.decide.EventLog.AppendOutcome;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A client of the log: one call at a time, sent again until it is answered, first in a session that the log opens. A
 * call that is sent twice is one append. Not thread-safe.
 */
public final class AppendClient {

    /** A message for a replica. */
    public record Request(int replica, EventLogMessage message) {}

    /** A call is over. */
    public record CallResult(long token, AppendResult result) {}

    private record Call(long token, List<Event> events) {}

    /** Calls that wait; at one more the offer is refused. */
    public static final int MOST_WAITING = 64;
    /** Bytes of the events of one call, so that its entry fits a datagram of Raft's. */
    public static final int MOST_BYTES = 900;
    private static final long RETRY_US = 300_000;
    private static final long REDIRECT_US = 20_000;

    private final List<Integer> replicas;
    private final Deque<Call> calls = new ArrayDeque<>();
    private long nonce;
    private long session;
    private long number;
    private int target;
    private boolean unanswered;
    private long sendAtUs;

    /** A client without a session; {@code nonce} is a random number for this start. */
    public AppendClient(List<Integer> replicas, int self, long nonce) {
        this.replicas = List.copyOf(replicas);
        this.target = self % replicas.size();
        this.nonce = nonce;
    }

    /** Takes a call; false if too many wait, or its events are none or too large. */
    public boolean offer(long token, List<Event> events, long nowUs) {
        boolean fits = !events.isEmpty() && events.stream().mapToInt(Event::bytes).sum() <= MOST_BYTES;
        if (!fits || calls.size() >= MOST_WAITING) {
            return false;
        }
        if (calls.isEmpty()) {
            sendAtUs = nowUs;
            unanswered = false;
        }
        calls.addLast(new Call(token, List.copyOf(events)));
        return true;
    }

    /** What is to be sent now, or null. */
    public Request tick(long nowUs) {
        if (calls.isEmpty() || nowUs < sendAtUs) {
            return null;
        }
        if (unanswered) {
            target = (target + 1) % replicas.size();
        }
        unanswered = true;
        sendAtUs = nowUs + RETRY_US;
        EventLogMessage message = session == 0 ? new EventLogMessage.OpenSession(nonce)
                : new EventLogMessage.Append(session, number, calls.getFirst().events());
        return new Request(replicas.get(target), message);
    }

    /** When {@link #tick} is to be called again. */
    public long nextUs() {
        return calls.isEmpty() ? Long.MAX_VALUE : sendAtUs;
    }

    /** A session was opened. */
    public void on(EventLogMessage.SessionOpened opened, long nowUs) {
        if (opened.nonce() == nonce && session == 0) {
            session = opened.session();
            number = 1;
            again(nowUs);
        }
    }

    /** A call was answered; gives what is over, or null. */
    public CallResult on(EventLogMessage.AppendAnswer answered, long nowUs) {
        if (answered.session() != session || answered.call() != number || calls.isEmpty()) {
            return null;
        }
        number++;
        if (answered.result().outcome() != AppendOutcome.APPENDED) {
            session = 0;
            nonce++;
        }
        again(nowUs);
        return new CallResult(calls.removeFirst().token(), answered.result());
    }

    /** A replica does not lead. */
    public void on(EventLogMessage.Redirect redirect, long nowUs) {
        int leader = replicas.indexOf(redirect.leader());
        if (leader >= 0 && leader != target) {
            target = leader;
            unanswered = false;
            sendAtUs = Math.min(sendAtUs, nowUs + REDIRECT_US);
        }
    }

    private void again(long nowUs) {
        unanswered = false;
        sendAtUs = nowUs;
    }
}
