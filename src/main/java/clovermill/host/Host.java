package clovermill.host;

import clovermill.CacheRouter.Action;
import clovermill.CacheRouter.Event;
import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.CacheRouter;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The core of a director, without any protocol in it: owns requests and their attempts, carries out what the
 * module decides and gives it back events with the meaning that they have on the simulator's wire.
 */
public final class Host {

    private static final System.Logger LOG = System.getLogger(Host.class.getName());

    private static final Predicate<String> ANY = member -> true;

    private final CacheRouter router;
    private CacheRouter.Permissions allowed;
    private long slackUs;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Upstream upstream;
    /** Null where nobody keeps count. */
    private final Audit audit;
    /** Null where nothing binds requests. */
    private final Bounds bounds;
    private final Map<String, Call> calls = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean delivering;

    /** A host of whose requests nobody keeps count. */
    public Host(CacheRouter router, CacheRouter.Settings settings, Clock clock, Deadlines deadlines,
            Upstream upstream) {
        this(router, settings, clock, deadlines, upstream, null, null);
    }

    /** {@code audit} and {@code bounds} may be null. */
    public Host(CacheRouter router, CacheRouter.Settings settings, Clock clock, Deadlines deadlines,
            Upstream upstream, Audit audit, Bounds bounds) {
        this.bounds = bounds;
        this.router = router;
        this.allowed = settings.allowed();
        this.slackUs = settings.answerSlackUs();
        this.clock = clock;
        this.deadlines = deadlines;
        this.upstream = upstream;
        this.audit = audit;
    }

    /** A request from its arrival until it has its answer and all its attempts have ended. */
    private final class Call {
        final Ask ask;
        final long takenUs = clock.micros();
        final long deadlineUs;
        final Map<Integer, Attempt> out = new HashMap<>(2);
        /** Null where nothing binds it. */
        final Predicate<String> allowed;
        /** Guards the rule of one answer in time against a module that says nothing. */
        final Deadlines.Deadline overdue;
        private Asker asker;
        int sent;

        Call(Ask ask, Asker asker) {
            this.ask = ask;
            this.asker = asker;
            this.allowed = bounds == null ? null : bounds.bind(ask);
            this.deadlineUs = takenUs + ask.waitUs();
            this.overdue = deadlines.add(deadlineUs + slackUs / 2, this::overdue);
        }

        boolean over() {
            return asker == null;
        }

        /** The one place where a request ends; the first to end it gets the asker to answer. */
        Asker end() {
            Asker answered = asker;
            asker = null;
            deadlines.cancel(overdue);
            forget();
            return answered;
        }

        /** The id is free again when no attempt can speak of it any more. */
        void forget() {
            if (over() && out.isEmpty()) {
                calls.remove(ask.id(), this);
            }
        }

        void refuse(long afterMs) {
            end().refused(afterMs);
            audited(Usage.End.REFUSED);
        }

        void fail() {
            end().failed();
            audited(Usage.End.FAILED);
        }

        /** Tells the audit of an end without bytes. */
        void audited(Usage.End how) {
            if (audit != null) {
                audit.ended(new Usage(ask, true, takenUs, clock.micros(), how, sent, null, null, null, 0, 0));
            }
        }

        /** Hands over the answer of an attempt; the audit is told when it has been written, or never will be. */
        void serve(Answer answer, Attempt by, Note note) {
            if (audit == null) {
                end().served(answer);
                return;
            }
            int attempts = sent;
            int size = answer.notModified() ? 0 : answer.body().bytes().length;
            end().served(answer.with((bytes, whole) -> audit.ended(new Usage(ask, true, takenUs, clock.micros(),
                    !whole ? Usage.End.BROKEN_OFF : answer.notModified() ? Usage.End.NOT_MODIFIED : Usage.End.SERVED,
                    attempts, by.member, by.source, note, bytes, size))));
        }

        private void overdue() {
            LOG.log(Level.WARNING, "request {0} was overdue", ask.id());
            fail();
            deliver(new CacheRouter.ClientGone(ask.id()));
        }
    }

    /** One attempt; it ends once, by its answer, its time-out or its being called off. */
    private final class Attempt implements Upstream.Ending {
        final Call call;
        final int number;
        final String member;
        /** From where a miss is filled; null where it is not. */
        String source;
        final long sentUs = clock.micros();
        Deadlines.Deadline timeout;
        Upstream.Exchange exchange;
        boolean ended;
        private CacheRouter.LoadReport load;

        Attempt(Call call, int number, String member) {
            this.call = call;
            this.number = number;
            this.member = member;
        }

        @Override
        public boolean may() {
            return call.allowed == null || call.allowed.test(member) && (source == null || call.allowed.test(source));
        }

        @Override
        public void reported(CacheRouter.LoadReport report) {
            load = report;
        }

        @Override
        public void ended(Result told, Note note, long waitedUs, Answer answer) {
            // A member that finds the client's copy good where the client holds none has served nothing.
            boolean empty = answer != null && answer.notModified() && call.ask.have() == null;
            Result result = empty ? Result.ERROR : told;
            boolean serves = result == Result.OK && !ended && !call.over();
            if (answer != null && !serves) {
                answer.body().close();
            }
            if (ended) {
                return;
            }
            ended = true;
            deadlines.cancel(timeout);
            call.out.remove(number);
            if (serves) {
                call.serve(answer, this, note);
            }
            call.forget();
            deliver(new CacheRouter.Outcome(call.ask.id(), number, member, result, clock.micros() - sentUs,
                    call.over(), note, waitedUs, load));
        }

        /**
         * Ends it from this side: what was never sent in all its time counts as not connected. What was only
         * withdrawn before its turn to be written came proves that too, but speaks against nobody: clients
         * that withdraw hundreds at once must not make all members look dead.
         */
        void giveUp(Result result) {
            boolean heldHere = exchange.heldHere();
            boolean mayHaveRun = exchange.giveUp();
            Result unsent = result == Result.TIMED_OUT && !heldHere ? Result.UNCONNECTED : Result.NOT_SENT;
            ended(mayHaveRun ? result : unsent, Note.NONE, 0, null);
        }
    }

    /** Takes a request; {@code asker} gets its one answer, maybe before this returns. */
    public void submit(Ask ask, Asker asker) {
        if (calls.size() >= allowed.maxOpen()) {
            asker.refused(allowed.maxRetryAfterUs() / 1000);
            notTaken(ask, Usage.End.REFUSED);
            return;
        }
        if (calls.containsKey(ask.id())) {
            asker.failed();
            notTaken(ask, Usage.End.FAILED);
            return;
        }
        long afterMs = audit == null ? Audit.TAKEN : audit.turnsAway(ask);
        if (afterMs != Audit.TAKEN) {
            asker.refused(Math.min(afterMs, allowed.maxRetryAfterUs() / 1000));
            notTaken(ask, Usage.End.REFUSED);
            return;
        }
        Call call = new Call(ask, asker);
        calls.put(ask.id(), call);
        deliver(new CacheRouter.Request(ask.id(), ask.requestClass(), 0,
                Long.parseUnsignedLong(ask.object(), 16), ask.part(), ask.group(), ask.sizeKb(),
                ask.waitUs(), ask.repeat(), call.allowed == null ? ANY : call.allowed));
    }

    /** Tells the audit of a request that a front or the host turned away before the module saw it. */
    public void notTaken(Ask ask, Usage.End how) {
        if (audit != null) {
            long nowUs = clock.micros();
            audit.ended(new Usage(ask, false, nowUs, nowUs, how, 0, null, null, null, 0, 0));
        }
    }

    /** Whether anybody keeps count. */
    public boolean audited() {
        return audit != null;
    }

    /** The client no longer waits: no answer is owed. */
    public void clientGone(String id) {
        Call call = calls.get(id);
        if (call != null && !call.over()) {
            call.end();
            call.audited(Usage.End.GONE);
            deliver(new CacheRouter.ClientGone(id));
        }
    }

    /** Passes on news that come from no request: of the members, of purges. */
    public void tell(Event event) {
        if (audit != null && event instanceof CacheRouter.Members news) {
            audit.members(news);
        }
        deliver(event);
    }

    /** Puts other settings in force, for requests that come from now on. */
    public void retune(CacheRouter.Settings settings) {
        allowed = settings.allowed();
        slackUs = settings.answerSlackUs();
        deliver(new CacheRouter.Retuned(settings));
    }

    /** Gives every open request its final answer now: the end of the process is near. */
    public void answerAll() {
        for (Call call : List.copyOf(calls.values())) {
            if (!call.over()) {
                if (call.sent == 0) {
                    call.refuse(1);
                } else {
                    call.fail();
                }
                deliver(new CacheRouter.ClientGone(call.ask.id()));
            }
        }
    }

    /**
     * Gives events to the module one after another: an action that ends something at once leads to a new
     * event after the present one, not inside it.
     */
    private void deliver(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliverOne(next);
            }
        } finally {
            delivering = false;
        }
    }

    /** A fault in the module must not end the process; the request's own deadline still answers it. */
    private void deliverOne(Event event) {
        try {
            router.handle(clock.micros(), event, this::perform);
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the module failed on an event", fault);
        }
    }

    private void perform(Action action) {
        if (action instanceof CacheRouter.SendVia a) {
            boolean filled = !a.source().equals(a.member());
            send(a.request(), a.member(), a.timeoutUs(), (call, left) -> new Upstream.Order(call.ask, a.member(),
                    left, filled ? a.source() : null, a.rank(), a.maxAgeUs(), a.join(), a.heldOnly(),
                    a.parentKeepsNone(), a.renew()));
        } else if (action instanceof CacheRouter.Send a) {
            send(a.request(), a.member(), a.timeoutUs(), (call, left) -> new Upstream.Order(call.ask, a.member(),
                    left, null, 0, 0, false, false, false, false));
        } else if (action instanceof CacheRouter.Cancel a) {
            Call call = calls.get(a.request());
            Attempt attempt = call == null ? null : call.out.get(a.attempt());
            if (attempt != null) {
                attempt.giveUp(Result.CANCELLED);
            }
        } else if (action instanceof CacheRouter.Refuse a) {
            Call call = calls.get(a.request());
            if (call != null && !call.over()) {
                call.refuse(Math.max(0, a.retryAfterUs()) / 1000);
            }
        } else if (action instanceof CacheRouter.Fail a) {
            Call call = calls.get(a.request());
            if (call != null && !call.over()) {
                call.fail();
            }
        } else if (action instanceof CacheRouter.SetTimer a) {
            deadlines.add(clock.micros() + a.delayUs(), () -> deliver(new CacheRouter.Timer(a.token())));
        } else if (action instanceof CacheRouter.Probe a) {
            long sentUs = clock.micros();
            upstream.probe(a.member(), (result, note, waitedUs, answer) -> deliver(
                    new CacheRouter.Probed(a.member(), result, clock.micros() - sentUs, null)));
        } else if (action instanceof CacheRouter.CloseIdle a) {
            upstream.closeIdle(a.member());
        } else if (action instanceof CacheRouter.Log a) {
            LOG.log(Level.INFO, a.line());
        }
        // Watch and FetchMembers ask for what the command channel pushes anyway; no director hears a Tell.
    }

    private interface Ordering {
        Upstream.Order order(Call call, long timeoutUs);
    }

    /** Sends an attempt, its time-out cut to the client's deadline; one too many or too late is not sent. */
    private void send(String request, String member, long timeoutUs, Ordering ordering) {
        Call call = calls.get(request);
        if (call == null) {
            LOG.log(Level.ERROR, "the module named the unknown request {0}", request);
            return;
        }
        Attempt attempt = new Attempt(call, call.sent++, member);
        long left = call.deadlineUs - attempt.sentUs;
        call.out.put(attempt.number, attempt);
        if (call.over() || attempt.number >= allowed.maxAttempts() || left <= 0) {
            attempt.ended(Result.NOT_SENT, Note.NONE, 0, null);
            return;
        }
        long cut = timeoutUs == 0 ? left : Math.min(left, Math.max(0, timeoutUs));
        Upstream.Order order = ordering.order(call, cut);
        attempt.source = order.source();
        attempt.exchange = upstream.send(order, attempt);
        if (!attempt.ended) {
            attempt.timeout = deadlines.add(attempt.sentUs + cut, () -> attempt.giveUp(Result.TIMED_OUT));
        }
    }
}
