package clovermill.controlplane.policystore.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Explores every order in which directors can ask, be answered, confirm, restart and lose messages while two changes
 * are made and taken back, with leases as abstract time: two ticks long. The register, the holders and the overseer are
 * the real ones. Time is told relative to now, and directors are alike, so that the states are finite and not too many.
 */
final class StepSearch {

    /** What is broken on purpose, to show that the search finds it. */
    enum Breakage {
        NONE, BOTH_SKIPPED, NO_WAIT_FOR_LEASES, WAIT_FORGOTTEN_BY_THE_NEXT_LEADER, LEASE_FROM_THE_ANSWER,
        ANSWER_TO_AN_EARLIER_PROCESS, BACK_TO_AN_EARLIER_STEP, GRANT_OF_A_FORMER_LEADER, LEASE_KEPT_FOR_THE_NEXT_STEP
    }

    private static final PolicyDocument[] POLICIES = {PolicyDocument.of("{\"a\":1}"), PolicyDocument.of("{\"b\":1}")};
    private static final long MAX_AGE = 3;

    /** A question on its way, or, with a step, its answer; told apart by the process and by when it was asked. */
    private record Message(int boot, long question, PolicyTransition granted) {}

    /** {@code confirms} are on their way to the leader, which has those of {@code confirmed} already. */
    private record Director(int boot, LeaseHolder holder, List<Message> inFlight, Set<Long> confirms, long confirmed) {}

    private record World(PolicyRegister register, PolicyTransition before, long overseen, long knownUs,
            List<Director> directors,
            int proposed, int aborts, int crashes, long highest) {}

    private final LeaseTiming terms;
    private final int inFlight;
    private final int changes;
    private final int mishaps;
    private final Breakage broken;
    /** Directors by number: a world is told apart by theirs, which is cheap. */
    private final Map<Director, Integer> numbers = new HashMap<>();
    private final Set<List<Object>> seen = new HashSet<>();
    private final Deque<World> todo = new ArrayDeque<>();
    private String violation;

    /** So many directors, each with so many messages on their way at a time; changes; times that one is taken back. */
    StepSearch(int directors, int inFlight, int changes, int mishaps, Breakage broken) {
        this.changes = changes;
        this.mishaps = mishaps;
        this.terms = new LeaseTiming(directors, 2, 1, 0);
        this.inFlight = inFlight;
        this.broken = broken;
    }

    /** The first state in which the invariant does not hold, or null once all states have been seen. */
    String run() {
        List<Director> all = new ArrayList<>();
        for (int i = 0; i < terms.directors(); i++) {
            all.add(new Director(0, LeaseHolder.EMPTY, List.of(), Set.of(), PolicyTransition.NONE));
        }
        reach(new World(PolicyRegister.FIRST, PolicyTransition.FIRST, 0, 0, all, 0, 0, 0, 0));
        while (!todo.isEmpty() && violation == null) {
            expand(todo.poll());
        }
        return violation;
    }

    int states() {
        return seen.size();
    }

    private void reach(World w) {
        long highest = w.highest;
        for (Director director : w.directors) {
            PolicyTransition step = director.holder.step();
            highest = director.holder.holds(0) && !step.both() ? Math.max(highest, step.version()) : highest;
        }
        List<Director> sorted = new ArrayList<>(w.directors);
        sorted.sort(Comparator.comparing(this::number));
        long counts = ((w.overseen * 4 - w.knownUs) * 4 + w.proposed) * 4 + w.aborts * 2 + w.crashes;
        List<Object> key = new ArrayList<>(List.of(w.register.step(), w.before, counts, highest));
        sorted.forEach(director -> key.add(number(director)));
        if (seen.add(key)) {
            World normal = new World(w.register, w.before, w.overseen, w.knownUs, List.copyOf(sorted), w.proposed,
                    w.aborts, w.crashes, highest);
            check(normal);
            todo.add(normal);
        }
    }

    private int number(Director director) {
        return numbers.computeIfAbsent(director, one -> numbers.size());
    }

    /** One version that all who may act obey, none older than what anybody acted by alone. */
    private void check(World w) {
        Set<Long> common = null;
        for (Director director : w.directors) {
            if (director.holder.holds(0)) {
                PolicyTransition step = director.holder.step();
                Set<Long> obeyed = new HashSet<>(List.of(step.version(), step.both() ? step.next() : step.version()));
                if (obeyed.stream().allMatch(version -> version < w.highest)) {
                    violation = "older than " + w.highest + ": " + w;
                }
                if (common == null) {
                    common = obeyed;
                } else {
                    common.retainAll(obeyed);
                }
            }
        }
        if (common != null && common.isEmpty()) {
            violation = "no version that all obey: " + w;
        }
    }

    private void expand(World w) {
        PolicyTransition step = w.register.step();
        reach(tick(w));
        if (w.proposed < changes && !step.both()) {
            agreed(w, new PolicyChange.Propose(step.version(), POLICIES[w.proposed].digest()), w.proposed + 1,
                    w.aborts);
        }
        if (w.aborts < mishaps && step.both()) {
            agreed(w, new PolicyChange.Abort(step.number(), "asked for"), w.proposed, 1);
        }
        // Another voter leads: it knows of no confirmation, and learns of the step only now.
        List<Director> anew = w.directors.stream()
                .map(d -> new Director(d.boot, d.holder, d.inFlight, d.confirms, PolicyTransition.NONE)).toList();
        long knownUs = broken == Breakage.WAIT_FORGOTTEN_BY_THE_NEXT_LEADER ? -MAX_AGE : 0;
        reach(new World(w.register, w.before, step.number(), knownUs, anew, w.proposed, w.aborts, w.crashes,
                w.highest));
        Map<Integer, Long> confirmed = new HashMap<>();
        for (int i = 0; i < w.directors.size(); i++) {
            if (w.directors.get(i).confirmed == w.overseen) {
                confirmed.put(i, 0L);
            }
        }
        PolicyChange due = new Coordinator(w.overseen, w.knownUs, confirmed, null).due(w.register, terms, true,
                broken == Breakage.NO_WAIT_FOR_LEASES ? 99 : 0);
        if (due != null) {
            agreed(w, due, w.proposed, w.aborts);
        }
        for (int i = 0; i < w.directors.size(); i++) {
            if (i == 0 || !w.directors.get(i).equals(w.directors.get(i - 1))) {
                act(w, i);
            }
        }
    }

    private void agreed(World w, PolicyChange change, int proposed, int aborts) {
        PolicyRegister drafted = change instanceof PolicyChange.Propose propose
                ? w.register.after(new PolicyChange.Part(propose.digest(),
                        0, POLICIES[w.proposed].text()))
                : w.register;
        PolicyRegister after = drafted.after(change);
        if (broken == Breakage.BOTH_SKIPPED && after.step().both()) {
            after = after.after(new PolicyChange.Settle(after.step().number()));
        }
        reach(new World(after, w.register.step(), after.step().number(), 0, w.directors, proposed, aborts, w.crashes,
                w.highest));
    }

    private void act(World w, int i) {
        Director d = w.directors.get(i);
        for (long confirm : d.confirms) {
            Set<Long> left = new HashSet<>(d.confirms);
            left.remove(confirm);
            with(w, i, new Director(d.boot, d.holder, d.inFlight, Set.copyOf(left), confirm == w.overseen ? confirm
                    : d.confirmed), w.crashes);
        }
        if (d.inFlight.size() < inFlight) {
            long question = d.inFlight.stream().anyMatch(m -> m.question == 1) ? 2 : 1;
            with(w, i, message(d, d.holder.asks(question, 0), d.inFlight, new Message(d.boot, question, null)),
                    w.crashes);
        }
        if (w.crashes == 0) {
            with(w, i, new Director(d.boot + 1, LeaseHolder.EMPTY, d.inFlight, d.confirms, d.confirmed), 1);
        }
        for (Message message : Set.copyOf(d.inFlight)) {
            List<Message> rest = new ArrayList<>(d.inFlight);
            rest.remove(message);
            with(w, i, new Director(d.boot, forget(d.holder, message), List.copyOf(rest), d.confirms, d.confirmed),
                    w.crashes); // lost
            if (message.granted == null) {
                answer(w, i, rest, message, w.register.step());
                if (broken == Breakage.GRANT_OF_A_FORMER_LEADER) {
                    answer(w, i, rest, message, w.before);
                }
            } else if (message.boot == d.boot || broken == Breakage.ANSWER_TO_AN_EARLIER_PROCESS) {
                LeaseHolder after = answered(d.holder, message);
                Set<Long> confirms = new HashSet<>(d.confirms);
                if (after != d.holder && after.step().both()) {
                    confirms.add(after.step().number());
                }
                with(w, i, new Director(d.boot, after, List.copyOf(rest), Set.copyOf(confirms), d.confirmed),
                        w.crashes);
            }
        }
    }

    /** A question whose answer can never come makes no difference any more. */
    private static LeaseHolder forget(LeaseHolder holder, Message message) {
        Map<Long, Long> asked = new TreeMap<>(holder.asked());
        asked.remove(message.question);
        return new LeaseHolder(holder.step(), holder.untilUs(), Map.copyOf(asked), holder.refused());
    }

    private void answer(World w, int i, List<Message> rest, Message asked, PolicyTransition step) {
        Director d = w.directors.get(i);
        with(w, i, message(d, d.holder, rest, new Message(asked.boot, asked.question, step)), w.crashes);
    }

    private LeaseHolder answered(LeaseHolder holder, Message message) {
        LeaseHolder asked = holder;
        if (broken == Breakage.LEASE_FROM_THE_ANSWER && holder.asked().containsKey(message.question)) {
            asked = holder.asks(message.question, 0);
        } else if (broken == Breakage.ANSWER_TO_AN_EARLIER_PROCESS) {
            asked = holder.asks(message.question, holder.asked().getOrDefault(message.question, 0L));
        } else if (broken == Breakage.BACK_TO_AN_EARLIER_STEP) {
            asked = new LeaseHolder(null, holder.untilUs(), holder.asked(), holder.refused());
        }
        LeaseHolder after = asked.granted(message.question, message.granted, terms);
        if (broken == Breakage.LEASE_KEPT_FOR_THE_NEXT_STEP && after != asked && holder.step() != null) {
            after = new LeaseHolder(holder.step(), after.untilUs(), after.asked(), after.refused());
        }
        return after == asked ? holder : after;
    }

    private static Director message(Director d, LeaseHolder holder, List<Message> rest, Message one) {
        List<Message> all = new ArrayList<>(rest);
        all.add(one);
        all.sort(Comparator.comparing(Message::boot).thenComparing(Message::question)
                .thenComparing(each -> each.granted == null ? PolicyTransition.NONE : each.granted.number()));
        return new Director(d.boot, holder, List.copyOf(all), d.confirms, d.confirmed);
    }

    private void with(World w, int i, Director changed, int crashes) {
        List<Director> directors = new ArrayList<>(w.directors);
        directors.set(i, changed);
        reach(new World(w.register, w.before, w.overseen, w.knownUs, directors, w.proposed, w.aborts, crashes,
                w.highest));
    }

    /** One tick passes: all times are told from then on, and what is long past is all the same. */
    private World tick(World w) {
        List<Director> directors = new ArrayList<>();
        for (Director d : w.directors) {
            Map<Long, Long> asked = new TreeMap<>();
            d.holder.asked().forEach((question, at) -> asked.put(question, Math.max(-MAX_AGE, at - 1)));
            directors.add(new Director(d.boot, new LeaseHolder(d.holder.step(), Math.max(0, d.holder.untilUs() - 1),
                    Map.copyOf(asked), d.holder.refused()), d.inFlight, d.confirms, d.confirmed));
        }
        return new World(w.register, w.before, w.overseen, Math.max(-MAX_AGE, w.knownUs - 1), directors, w.proposed,
                w.aborts, w.crashes, w.highest);
    }

    /** Directors, messages on their way to each, changes, how many of them are taken back, what is broken. */
    public static void main(String[] args) {
        StepSearch search = new StepSearch(Integer.parseInt(args[0]), Integer.parseInt(args[1]),
                Integer.parseInt(args[2]), Integer.parseInt(args[3]), Breakage.valueOf(args[4]));
        long fromNs = System.nanoTime();
        String found = search.run();
        System.out.println("step-search: " + String.join(" ", args) + " states=" + search.states() + " directors="
                + search.numbers.size() + " ms=" + (System.nanoTime() - fromNs) / 1_000_000 + " violation=" + found);
    }
}
