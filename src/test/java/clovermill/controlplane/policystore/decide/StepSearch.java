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
 * Explores every order in which directors can request leases, receive grants, confirm, restart and lose messages while
 * up to two changes are made and aborted, with leases of two abstract ticks. The register, the lease holders and the
 * coordinator are the real ones. Times are relative to now and directors are interchangeable, so that the states are
 * finite.
 */
final class StepSearch {

    /** What is broken on purpose, to show that the search finds it. */
    enum Breakage {
        NONE, BOTH_SKIPPED, NO_WAIT_FOR_LEASES, WAIT_FORGOTTEN_BY_THE_NEXT_LEADER, LEASE_FROM_THE_ANSWER,
        ANSWER_TO_AN_EARLIER_PROCESS, BACK_TO_AN_EARLIER_STEP, GRANT_OF_A_FORMER_LEADER, LEASE_KEPT_FOR_THE_NEXT_STEP
    }

    private static final PolicyDocument[] POLICIES = {PolicyDocument.of("{\"a\":1}"), PolicyDocument.of("{\"b\":1}")};
    private static final long MAX_AGE = 3;

    /** A lease request in flight or, with a step, its grant; identified by the process and the time of the request. */
    private record Message(int boot, long question, PolicyTransition granted) {}

    /** {@code confirms} are in flight to the leader, which has received {@code confirmed}. */
    private record Director(int boot, LeaseHolder holder, List<Message> inFlight, Set<Long> confirms, long confirmed) {}

    private record World(PolicyRegister register, PolicyTransition before, long observedStep, long learnedAtUs,
            List<Director> directors,
            int proposed, int aborts, int crashes, long highest) {}

    private final LeaseTiming timing;
    private final int inFlight;
    private final int changes;
    private final int mishaps;
    private final Breakage broken;
    /** Directors by number: worlds are compared by these numbers, which is cheap. */
    private final Map<Director, Integer> numbers = new HashMap<>();
    private final Set<List<Object>> seen = new HashSet<>();
    private final Deque<World> todo = new ArrayDeque<>();
    private String violation;

    /**
     * A search that is yet to run.
     *
     * @param inFlight the most messages in flight per director
     * @param mishaps how many changes are aborted
     */
    StepSearch(int directors, int inFlight, int changes, int mishaps, Breakage broken) {
        this.changes = changes;
        this.mishaps = mishaps;
        this.timing = new LeaseTiming(directors, 2, 1, 0);
        this.inFlight = inFlight;
        this.broken = broken;
    }

    /** The first state in which the invariant does not hold, or null once all states have been seen. */
    String run() {
        List<Director> all = new ArrayList<>();
        for (int i = 0; i < timing.directors(); i++) {
            all.add(new Director(0, LeaseHolder.EMPTY, List.of(), Set.of(), PolicyTransition.NONE));
        }
        reach(new World(PolicyRegister.INITIAL, PolicyTransition.FIRST, 0, 0, all, 0, 0, 0, 0));
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
            highest = director.holder.isValid(0) && !step.inTransition() ? Math.max(highest, step.version()) : highest;
        }
        List<Director> sorted = new ArrayList<>(w.directors);
        sorted.sort(Comparator.comparing(this::number));
        long counts = ((w.observedStep * 4 - w.learnedAtUs) * 4 + w.proposed) * 4 + w.aborts * 2L + w.crashes;
        List<Object> key = new ArrayList<>(List.of(w.register.step(), w.before, counts, highest));
        sorted.forEach(director -> key.add(number(director)));
        if (seen.add(key)) {
            World normal =
                    new World(w.register, w.before, w.observedStep, w.learnedAtUs, List.copyOf(sorted), w.proposed,
                            w.aborts, w.crashes, highest);
            check(normal);
            todo.add(normal);
        }
    }

    private int number(Director director) {
        return numbers.computeIfAbsent(director, one -> numbers.size());
    }

    /** All directors with a lease obey a common version, none older than one that was in force alone. */
    private void check(World w) {
        Set<Long> common = null;
        for (Director director : w.directors) {
            if (director.holder.isValid(0)) {
                PolicyTransition step = director.holder.step();
                Set<Long> obeyed =
                        new HashSet<>(List.of(step.version(), step.inTransition() ? step.next() : step.version()));
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
        if (w.proposed < changes && !step.inTransition()) {
            agreed(w, new PolicyChange.Propose(step.version(), POLICIES[w.proposed].digest()), w.proposed + 1,
                    w.aborts);
        }
        if (w.aborts < mishaps && step.inTransition()) {
            agreed(w, new PolicyChange.Abort(step.number(), "asked for"), w.proposed, 1);
        }
        // A new leader knows of no confirmation, and learns of the step only now.
        List<Director> anew = w.directors.stream()
                .map(d -> new Director(d.boot, d.holder, d.inFlight, d.confirms, PolicyTransition.NONE)).toList();
        long learnedAtUs = broken == Breakage.WAIT_FORGOTTEN_BY_THE_NEXT_LEADER ? -MAX_AGE : 0;
        reach(new World(w.register, w.before, step.number(), learnedAtUs, anew, w.proposed, w.aborts, w.crashes,
                w.highest));
        Map<Integer, Long> confirmed = new HashMap<>();
        for (int i = 0; i < w.directors.size(); i++) {
            if (w.directors.get(i).confirmed == w.observedStep) {
                confirmed.put(i, 0L);
            }
        }
        new Coordinator(w.observedStep, w.learnedAtUs, confirmed, null).nextChange(w.register, timing, true,
                broken == Breakage.NO_WAIT_FOR_LEASES ? 99 : 0)
                .ifPresent(change -> agreed(w, change, w.proposed, w.aborts));
        for (int i = 0; i < w.directors.size(); i++) {
            if (i == 0 || !w.directors.get(i).equals(w.directors.get(i - 1))) {
                act(w, i);
            }
        }
    }

    private void agreed(World w, PolicyChange change, int proposed, int aborts) {
        PolicyRegister drafted = change instanceof PolicyChange.Propose propose
                ? w.register.apply(new PolicyChange.AppendPart(propose.digest(),
                        0, POLICIES[w.proposed].text()))
                : w.register;
        PolicyRegister after = drafted.apply(change);
        if (broken == Breakage.BOTH_SKIPPED && after.step().inTransition()) {
            after = after.apply(new PolicyChange.Complete(after.step().number()));
        }
        reach(new World(after, w.register.step(), after.step().number(), 0, w.directors, proposed, aborts, w.crashes,
                w.highest));
    }

    private void act(World w, int i) {
        Director d = w.directors.get(i);
        for (long confirm : d.confirms) {
            Set<Long> left = new HashSet<>(d.confirms);
            left.remove(confirm);
            with(w, i, new Director(d.boot, d.holder, d.inFlight, Set.copyOf(left), confirm == w.observedStep ? confirm
                    : d.confirmed), w.crashes);
        }
        if (d.inFlight.size() < inFlight) {
            long question = d.inFlight.stream().anyMatch(m -> m.question == 1) ? 2 : 1;
            with(w, i, message(d, d.holder.request(question, 0), d.inFlight, new Message(d.boot, question, null)),
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
                if (after != d.holder && after.step().inTransition()) {
                    confirms.add(after.step().number());
                }
                with(w, i, new Director(d.boot, after, List.copyOf(rest), Set.copyOf(confirms), d.confirmed),
                        w.crashes);
            }
        }
    }

    /** A request whose grant is lost makes no difference any more. */
    private static LeaseHolder forget(LeaseHolder holder, Message message) {
        Map<Long, Long> asked = new TreeMap<>(holder.requests());
        asked.remove(message.question);
        return new LeaseHolder(holder.step(), holder.expiresAtUs(), Map.copyOf(asked), holder.rejectedStep());
    }

    private void answer(World w, int i, List<Message> rest, Message asked, PolicyTransition step) {
        Director d = w.directors.get(i);
        with(w, i, message(d, d.holder, rest, new Message(asked.boot, asked.question, step)), w.crashes);
    }

    private LeaseHolder answered(LeaseHolder holder, Message message) {
        LeaseHolder asked = holder;
        if (broken == Breakage.LEASE_FROM_THE_ANSWER && holder.requests().containsKey(message.question)) {
            asked = holder.request(message.question, 0);
        } else if (broken == Breakage.ANSWER_TO_AN_EARLIER_PROCESS) {
            asked = holder.request(message.question, holder.requests().getOrDefault(message.question, 0L));
        } else if (broken == Breakage.BACK_TO_AN_EARLIER_STEP) {
            asked = new LeaseHolder(null, holder.expiresAtUs(), holder.requests(), holder.rejectedStep());
        }
        LeaseHolder after = asked.grant(message.question, message.granted, timing);
        if (broken == Breakage.LEASE_KEPT_FOR_THE_NEXT_STEP && after != asked && holder.step() != null) {
            after = new LeaseHolder(holder.step(), after.expiresAtUs(), after.requests(), after.rejectedStep());
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
        reach(new World(w.register, w.before, w.observedStep, w.learnedAtUs, directors, w.proposed, w.aborts,
                crashes,
                w.highest));
    }

    /** One tick passes: times are relative to the new moment; those beyond the largest age are equal. */
    private World tick(World w) {
        List<Director> directors = new ArrayList<>();
        for (Director d : w.directors) {
            Map<Long, Long> asked = new TreeMap<>();
            d.holder.requests().forEach((question, at) -> asked.put(question, Math.max(-MAX_AGE, at - 1)));
            directors.add(
                    new Director(d.boot, new LeaseHolder(d.holder.step(), Math.max(0, d.holder.expiresAtUs() - 1),
                            Map.copyOf(asked), d.holder.rejectedStep()), d.inFlight, d.confirms, d.confirmed));
        }
        return new World(w.register, w.before, w.observedStep, Math.max(-MAX_AGE, w.learnedAtUs - 1), directors,
                w.proposed,
                w.aborts, w.crashes, w.highest);
    }

    /** Arguments: directors, messages in flight per director, changes, aborts, the breakage. */
    public static void main(String[] args) {
        StepSearch search = new StepSearch(Integer.parseInt(args[0]), Integer.parseInt(args[1]),
                Integer.parseInt(args[2]), Integer.parseInt(args[3]), Breakage.valueOf(args[4]));
        long fromNs = System.nanoTime();
        String found = search.run();
        System.out.println("step-search: " + String.join(" ", args) + " states=" + search.states() + " directors="
                + search.numbers.size() + " ms=" + (System.nanoTime() - fromNs) / 1_000_000 + " violation=" + found);
    }
}
