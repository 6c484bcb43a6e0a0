package clovermill.fleet.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One director's part in a fleet: whom it tells what, what it lends and borrows, which verdicts hold, and whom it has
 * heard of late. Does no I/O: the owner calls {@link #tick} once an interval and {@link #heard} for each message that
 * is whole and signed, and sends what both return.
 *
 * <p>In every interval a few fellows are told something, each in turn by an order that is shuffled anew each round
 * (as SWIM picks whom to probe: Das et al., 2002), so that each is told once in every round of {@code (n - 1) /
 * fanout} intervals, and by an epidemic much sooner (Demers et al., 1987). A fellow whose digest differs is told
 * more. Not thread-safe; times are microseconds of the owner's clock, which no other is compared with.
 */
public final class FleetMember {

    /** Number of this director, how many there are, and how it talks. */
    public record Place(int self, int directors, long intervalUs, int fanout) {

        /** Intervals in which everybody is told something. */
        int round() {
            return (directors - 2 + fanout) / Math.max(1, fanout);
        }
    }

    /** A message to a fellow. */
    public record Outgoing(int to, Message message) { }

    /** Hears of verdicts that begin to hold here. */
    public interface Listener {
        void holds(Verdict verdict);
    }

    /** How a fellow is seen: told of lately, not for two rounds, or not for so long that nothing is asked of it. */
    public enum State { HEARD, SUSPECT, SILENT }

    /** Verdicts in one message: with the rest it stays within one datagram. */
    static final int MOST_VERDICTS = 12;
    /** Asks that wait for an answer, by limit; older ones are forgotten, and loans for them are none. */
    private static final int MOST_ASKS = 64;
    /** Rounds without a word after which a fellow is suspect, and silent. */
    private static final int SUSPECT_ROUNDS = 2;
    private static final int SILENT_ROUNDS = 5;
    /** Starts of a fellow that are remembered, so that what an earlier one said cannot be played again. */
    private static final int BOOTS = 4;

    /** What is known of one fellow. */
    private static final class Fellow {
        private final Deque<Long> earlier = new ArrayDeque<>();
        private long boot;
        private long sequence;
        private long heardUs;
        private long sent;
        private long digest;
        private boolean known;
    }

    /** A verdict that is news, and how often it still goes out of itself. */
    private static final class News {
        private final Verdict verdict;
        private int left;

        News(Verdict verdict, int left) {
            this.verdict = verdict;
            this.left = left;
        }
    }

    private final Place place;
    private final RandomGenerator random;
    private final Listener listener;
    private final long boot;
    private final Verdicts verdicts;
    private final List<Slice> limits;
    private final List<Map<Long, Long>> asked = new ArrayList<>();
    private final Fellow[] fellows;
    private final List<Integer> turn = new ArrayList<>();
    private final Map<String, News> news = new LinkedHashMap<>();
    private long ignored;

    /** {@code limits} are this director's slices, in the same order at all directors. */
    public FleetMember(Place place, List<? extends Slice> limits, RandomGenerator random, Listener listener,
            long nowUs) {
        this.place = place;
        this.random = random;
        this.listener = listener;
        this.limits = List.copyOf(limits);
        this.boot = random.nextLong();
        this.verdicts = new Verdicts(place.self());
        this.fellows = new Fellow[place.directors()];
        for (int i = 0; i < fellows.length; i++) {
            fellows[i] = new Fellow();
            fellows[i].heardUs = nowUs;
        }
        limits.forEach(each -> asked.add(new LinkedHashMap<>()));
    }

    /**
     * Milliseconds after which a verdict has reached all that can be reached, where up to three in ten messages are
     * lost: three rounds, or twenty intervals where the fleet is small, and the way of one message.
     */
    public static long staleMs(Place place, long delayMs) {
        return Math.max(3 * place.round(), 20) * place.intervalUs() / 1000 + delayMs;
    }

    /** Takes it that another process of this director may still admit and lend. */
    public void startAnew(long nowUs) {
        limits.forEach(limit -> limit.startAnew(nowUs));
    }

    /** This director's slice of a limit. */
    public Slice slice(int limit) {
        return limits.get(limit);
    }

    /** A verdict that is said to this director; false if it held already or there is no place for it. */
    public boolean say(String subject, boolean on) {
        Verdict said = verdicts.say(subject, on);
        if (said != null) {
            spread(said);
        }
        return said != null;
    }

    /** Whether a verdict binds a subject here. */
    public boolean holds(String subject) {
        Verdict known = verdicts.of(subject);
        return known != null && known.on();
    }

    /** The same number at all directors that hold the same verdicts. */
    public long digest() {
        return verdicts.digest();
    }

    /** Messages that were passed over since the start: of nobody's, of an earlier start, or played again. */
    public long ignored() {
        return ignored;
    }

    /** How a fellow is seen. */
    public State state(int fellow, long nowUs) {
        long rounds = (nowUs - fellows[fellow].heardUs) / (place.round() * place.intervalUs());
        return rounds < SUSPECT_ROUNDS ? State.HEARD : rounds < SILENT_ROUNDS ? State.SUSPECT : State.SILENT;
    }

    /** Tells the next few fellows what there is to tell, and asks for what is lacking. */
    public List<Outgoing> tick(long nowUs) {
        List<Outgoing> out = new ArrayList<>();
        for (int i = 0; i < place.fanout() && i < place.directors() - 1; i++) {
            int to = next();
            out.add(new Outgoing(to, message(to, asks(to, nowUs), List.of())));
        }
        return out;
    }

    /** Takes in a message that is whole and signed; returns what it answers at once. */
    public List<Outgoing> heard(Message message, long nowUs) {
        if (message.from() < 0 || message.from() >= fellows.length || message.from() == place.self()
                || !isNew(fellows[message.from()], message)) {
            ignored++;
            return List.of();
        }
        Fellow fellow = fellows[message.from()];
        boolean differed = !fellow.known || fellow.digest != message.digest();
        fellow.known = true;
        fellow.heardUs = nowUs;
        fellow.digest = message.digest();
        for (Verdict each : message.verdicts()) {
            if (verdicts.merge(each)) {
                spread(each);
                listener.holds(each);
            }
        }
        for (Message.Loan loan : message.loans()) {
            Long askedUs = loan.limit() < 0 || loan.limit() >= asked.size() ? null
                    : asked.get(loan.limit()).remove(loan.nonce());
            if (askedUs != null) {
                limits.get(loan.limit()).borrow(loan.amount(), askedUs, nowUs);
            }
        }
        List<Message.Loan> loans = new ArrayList<>();
        for (Message.Ask ask : message.asks()) {
            // One answer for each limit at most, so that all fit the datagram.
            if (ask.limit() >= 0 && ask.limit() < limits.size() && loans.size() < limits.size()) {
                double given = limits.get(ask.limit()).lend(ask.amount(), nowUs);
                if (given > 0) {
                    loans.add(new Message.Loan(ask.limit(), ask.nonce(), given));
                }
            }
        }
        // A digest that differs is answered once for each of the fellow's, lest two that differ talk without end.
        boolean tells = differed && message.digest() != verdicts.digest();
        return loans.isEmpty() && !tells ? List.of()
                : List.of(new Outgoing(message.from(), message(message.from(), List.of(), loans)));
    }

    /** Whether a message comes from the present start of a fellow, or a new one, and was not heard before. */
    private static boolean isNew(Fellow fellow, Message message) {
        if (fellow.known && message.boot() == fellow.boot) {
            // Datagrams may overtake one another; an overtaken one tells nothing that a later one does not.
            boolean later = message.sequence() > fellow.sequence;
            fellow.sequence = Math.max(fellow.sequence, message.sequence());
            return later;
        }
        if (fellow.earlier.contains(message.boot())) {
            return false;
        }
        if (fellow.known) {
            fellow.earlier.add(fellow.boot);
            if (fellow.earlier.size() > BOOTS) {
                fellow.earlier.poll();
            }
        }
        fellow.boot = message.boot();
        fellow.sequence = message.sequence();
        return true;
    }

    private int next() {
        if (turn.isEmpty()) {
            for (int i = 0; i < place.directors(); i++) {
                if (i != place.self()) {
                    turn.add(random.nextInt(turn.size() + 1), i);
                }
            }
        }
        return turn.remove(turn.size() - 1);
    }

    /** What it lacks, asked of one fellow; nothing of one that is silent. */
    private List<Message.Ask> asks(int to, long nowUs) {
        List<Message.Ask> asks = new ArrayList<>();
        for (int i = 0; i < limits.size(); i++) {
            double lacks = limits.get(i).lacks(nowUs);
            if (lacks > 0 && state(to, nowUs) != State.SILENT) {
                long nonce = random.nextLong();
                Map<Long, Long> open = asked.get(i);
                open.put(nonce, nowUs);
                Iterator<Long> oldest = open.keySet().iterator();
                while (open.size() > MOST_ASKS) {
                    oldest.next();
                    oldest.remove();
                }
                asks.add(new Message.Ask(i, nonce, Math.min(lacks, limits.get(i).most())));
            }
        }
        return asks;
    }

    private Message message(int to, List<Message.Ask> asks, List<Message.Loan> loans) {
        Fellow fellow = fellows[to];
        Map<String, Verdict> told = new HashMap<>();
        news.values().removeIf(each -> each.left <= 0);
        for (News each : news.values()) {
            if (told.size() < MOST_VERDICTS) {
                told.put(each.verdict.subject(), each.verdict);
                each.left--;
            }
        }
        if (told.size() < MOST_VERDICTS && (!fellow.known || fellow.digest != verdicts.digest())) {
            verdicts.next(MOST_VERDICTS - told.size()).forEach(each -> told.put(each.subject(), each));
        }
        return new Message(place.self(), boot, ++fellow.sent, verdicts.digest(), List.copyOf(told.values()), asks,
                loans);
    }

    /** Has a verdict go out of itself so often that an epidemic reaches all: some times the logarithm of the fleet. */
    private void spread(Verdict verdict) {
        int rounds = 4 * (int) Math.ceil(Math.log(place.directors() + 1));
        news.put(verdict.subject(), new News(verdict, rounds));
    }
}
