package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.AppendClient;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.Follower;
import clovermill.controlplane.eventlog.decide.FreshnessLease;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The director role: follows the log, delivers events to a listener, appends events as a client. Not thread-safe. */
final class EventLogDirector implements EventLogRole {

    private final Follower follower;
    private final AppendClient appender;
    private final Link link;
    private final EventLogTask.Listener listener;
    /** Callbacks of queued calls by token; at most {@link AppendClient#MAX_QUEUED_CALLS}. */
    private final Map<Long, Consumer<AppendResult>> callbacks = new HashMap<>();
    private long lastToken;
    private long reportedProvenUntilUs = FreshnessLease.NEVER;

    EventLogDirector(Follower follower, AppendClient appender, Link link, EventLogTask.Listener listener) {
        this.follower = follower;
        this.appender = appender;
        this.link = link;
        this.listener = listener;
    }

    Follower follower() {
        return follower;
    }

    @Override
    public void receive(int from, Packet packet, long nowUs) {
        if (packet instanceof Packet.EventLogPacket plain
                && plain.message() instanceof EventLogMessage.ToDirector message) {
            message.dispatch(new MessageHandler(from, nowUs));
        }
    }

    /** Handles one message of a replica. */
    private final class MessageHandler implements EventLogMessage.DirectorHandler<RuntimeException> {

        private final int from;
        private final long nowUs;

        private MessageHandler(int from, long nowUs) {
            this.from = from;
            this.nowUs = nowUs;
        }

        @Override
        public void batch(EventLogMessage.Batch batch) {
            follower.receive(from, batch, nowUs).forEach(listener::delivered);
            reportProven();
        }

        @Override
        public void sessionOpened(EventLogMessage.SessionOpened opened) {
            appender.sessionOpened(opened, nowUs);
        }

        @Override
        public void appendAnswer(EventLogMessage.AppendAnswer answer) {
            AppendClient.CallResult result = appender.answered(answer, nowUs);
            if (result != null) {
                callbacks.remove(result.token()).accept(result.result());
            }
        }

        @Override
        public void redirect(EventLogMessage.Redirect redirect) {
            appender.redirected(redirect, nowUs);
        }
    }

    @Override
    public void append(EventLogTaskMessage.AppendRequested append, long nowUs) {
        if (appender.offer(++lastToken, append.events(), nowUs)) {
            callbacks.put(lastToken, append.done());
        } else {
            append.done().accept(null);
        }
    }

    private void reportProven() {
        long untilUs = follower.freshness().provenUntilUs();
        if (untilUs != reportedProvenUntilUs) {
            reportedProvenUntilUs = untilUs;
            listener.proven(untilUs);
        }
    }

    @Override
    public long tick(long nowUs) {
        Follower.Request follow = follower.tick(nowUs);
        if (follow != null) {
            link.send(follow.replica(), new Packet.EventLogPacket(follow.follow()));
        }
        AppendClient.Request request = appender.tick(nowUs);
        if (request != null) {
            link.send(request.replica(), new Packet.EventLogPacket(request.message()));
        }
        reportProven();
        return Math.min(follower.nextUs(nowUs), appender.nextUs());
    }

    @Override
    public void stop(long nowUs) {
        // A director has no durable state, and no peer waits for it.
    }
}
