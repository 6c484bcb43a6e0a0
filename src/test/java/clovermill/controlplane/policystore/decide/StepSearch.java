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
 * An exhaustive search of the states of the lease protocol. It explores every order in which directors can request
 * leases, receive grants, confirm steps, restart and lose messages while up to two changes are proposed and aborted,
 * with leases of two abstract ticks. The register, the lease holders and the coordinator are the production classes.
 * Times are relative to the present and directors are interchangeable, so the number of states is finite.
 */
final class StepSearch {

    /** A fault that is injected into the protocol to verify that the search detects it. */
    enum Mutation {
        NONE, TRANSITION_SKIPPED, NO_WAIT_FOR_LEASE_EXPIRY, NO_WAIT_AT_NEW_LEADER, LEASE_STARTS_AT_GRANT,
        GRANT_TO_EARLIER_PROCESS_ACCEPTED, EARLIER_STEP_ACCEPTED, GRANT_BY_FORMER_LEADER,
        LEASE_EXTENDED_WITHOUT_NEW_STEP
    }

    private static final PolicyDocument[] POLICIES = {PolicyDocument.of("{\"a\":1}"), PolicyDocument.of("{\"b\":1}")};
    private static final long MAX_AGE = 3;

    /** A lease request in flight or, with a step, its grant; identified by the process and the time of the request. */
    private record Message(int process, long requestId, PolicyTransition granted) {}

    /** A director; {@code confirms} are in flight to the leader, which has received {@code confirmed}. */
    private record Director(int process, LeaseHolder holder, List<Message> inFlight, Set<Long> confirms,
            long confirmed) {}

    private record State(PolicyRegister register, PolicyTransition previousStep, long observedStep, long observedAtUs,
            List<Director> directors, int proposed, int aborts, int crashes, long highestAlone) {}

    private final LeaseTiming timing;
    private final int maxInFlight;
    private final int maxChanges;
    private final int maxAborts;
    private final Mutation mutation;
    /** A number for each distinct director state; states are compared by these numbers, which is cheap. */
    private final Map<Director, Integer> numbers = new HashMap<>();
    private final Set<List<Object>> visited = new HashSet<>();
    private final Deque<State> queue = new ArrayDeque<>();
    private String violation;

    /**
     * Creates a search; {@link #run} executes it.
     *
     * @param maxInFlight the maximum number of messages in flight per director
     * @param maxChanges the maximum number of changes that are proposed
     * @param maxAborts the maximum number of changes that are aborted
     */
    StepSearch(int directors, int maxInFlight, int maxChanges, int maxAborts, Mutation mutation) {
        this.maxChanges = maxChanges;
        this.maxAborts = maxAborts;
        this.timing = new LeaseTiming(directors, 2, 1, 0);
        this.maxInFlight = maxInFlight;
        this.mutation = mutation;
    }

    /** Returns a description of the first state that violates the invariant, or null if there is none. */
    String run() {
        List<Director> all = new ArrayList<>();
        for (int i = 0; i < timing.directors(); i++) {
            all.add(new Director(0, LeaseHolder.EMPTY, List.of(), Set.of(), PolicyTransition.NONE));
        }
        visit(new State(PolicyRegister.INITIAL, PolicyTransition.FIRST, 0, 0, all, 0, 0, 0, 0));
        while (!queue.isEmpty() && violation == null) {
            expand(queue.poll());
        }
        return violation;
    }

    int states() {
        return visited.size();
    }

    private void visit(State s) {
        long highestAlone = s.highestAlone;
        for (Director director : s.directors) {
            PolicyTransition step = director.holder.step();
            highestAlone = director.holder.isValid(0) && !step.inTransition() ? Math.max(highestAlone, step.version())
                    : highestAlone;
        }
        List<Director> sorted = new ArrayList<>(s.directors);
        sorted.sort(Comparator.comparing(this::number));
        long counts = ((s.observedStep * 4 - s.observedAtUs) * 4 + s.proposed) * 4 + s.aborts * 2L + s.crashes;
        List<Object> key = new ArrayList<>(List.of(s.register.step(), s.previousStep, counts, highestAlone));
        sorted.forEach(director -> key.add(number(director)));
        if (visited.add(key)) {
            State normal =
                    new State(s.register, s.previousStep, s.observedStep, s.observedAtUs, List.copyOf(sorted),
                            s.proposed, s.aborts, s.crashes, highestAlone);
            check(normal);
            queue.add(normal);
        }
    }

    private int number(Director director) {
        return numbers.computeIfAbsent(director, one -> numbers.size());
    }

    /** Checks that all directors with a lease obey a common version, not older than one that was in force alone. */
    private void check(State s) {
        Set<Long> common = null;
        for (Director director : s.directors) {
            if (director.holder.isValid(0)) {
                PolicyTransition step = director.holder.step();
                Set<Long> obeyed =
                        new HashSet<>(List.of(step.version(), step.inTransition() ? step.next() : step.version()));
                if (obeyed.stream().allMatch(version -> version < s.highestAlone)) {
                    violation = "older than " + s.highestAlone + ": " + s;
                }
                if (common == null) {
                    common = obeyed;
                } else {
                    common.retainAll(obeyed);
                }
            }
        }
        if (common != null && common.isEmpty()) {
            violation = "without a common version: " + s;
        }
    }

    private void expand(State s) {
        PolicyTransition step = s.register.step();
        visit(tick(s));
        if (s.proposed < maxChanges && !step.inTransition()) {
            commit(s, new PolicyChange.Propose(step.version(), POLICIES[s.proposed].digest()), s.proposed + 1,
                    s.aborts);
        }
        if (s.aborts < maxAborts && step.inTransition()) {
            commit(s, new PolicyChange.Abort(step.number(), "requested"), s.proposed, 1);
        }
        // A new leader has received no confirmations and observes the step only now.
        List<Director> unconfirmed = s.directors.stream()
                .map(d -> new Director(d.process, d.holder, d.inFlight, d.confirms, PolicyTransition.NONE))
                .toList();
        long observedAtUs = mutation == Mutation.NO_WAIT_AT_NEW_LEADER ? -MAX_AGE : 0;
        visit(new State(s.register, s.previousStep, step.number(), observedAtUs, unconfirmed, s.proposed, s.aborts,
                s.crashes, s.highestAlone));
        Map<Integer, Long> confirmed = new HashMap<>();
        for (int i = 0; i < s.directors.size(); i++) {
            if (s.directors.get(i).confirmed == s.observedStep) {
                confirmed.put(i, 0L);
            }
        }
        new Coordinator(s.observedStep, s.observedAtUs, confirmed, null).nextChange(s.register, timing, true,
                mutation == Mutation.NO_WAIT_FOR_LEASE_EXPIRY ? 99 : 0)
                .ifPresent(change -> commit(s, change, s.proposed, s.aborts));
        for (int i = 0; i < s.directors.size(); i++) {
            if (i == 0 || !s.directors.get(i).equals(s.directors.get(i - 1))) {
                expandDirector(s, i);
            }
        }
    }

    private void commit(State s, PolicyChange change, int proposed, int aborts) {
        PolicyRegister drafted = change instanceof PolicyChange.Propose propose
                ? s.register.apply(new PolicyChange.AppendPart(propose.digest(),
                        0, POLICIES[s.proposed].text()))
                : s.register;
        PolicyRegister after = drafted.apply(change);
        if (mutation == Mutation.TRANSITION_SKIPPED && after.step().inTransition()) {
            after = after.apply(new PolicyChange.Complete(after.step().number()));
        }
        visit(new State(after, s.register.step(), after.step().number(), 0, s.directors, proposed, aborts, s.crashes,
                s.highestAlone));
    }

    private void expandDirector(State s, int i) {
        Director d = s.directors.get(i);
        for (long confirm : d.confirms) {
            Set<Long> left = new HashSet<>(d.confirms);
            left.remove(confirm);
            visit(s, i, new Director(d.process, d.holder, d.inFlight, Set.copyOf(left),
                    confirm == s.observedStep ? confirm : d.confirmed), s.crashes);
        }
        if (d.inFlight.size() < maxInFlight) {
            long requestId = d.inFlight.stream().anyMatch(m -> m.requestId == 1) ? 2 : 1;
            visit(s, i,
                    withMessage(d, d.holder.request(requestId, 0), d.inFlight, new Message(d.process, requestId, null)),
                    s.crashes);
        }
        if (s.crashes == 0) {
            visit(s, i, new Director(d.process + 1, LeaseHolder.EMPTY, d.inFlight, d.confirms, d.confirmed), 1);
        }
        for (Message message : Set.copyOf(d.inFlight)) {
            List<Message> rest = new ArrayList<>(d.inFlight);
            rest.remove(message);
            visit(s, i, new Director(d.process, withoutRequest(d.holder, message), List.copyOf(rest), d.confirms,
                    d.confirmed), s.crashes); // lost
            if (message.granted == null) {
                grant(s, i, rest, message, s.register.step());
                if (mutation == Mutation.GRANT_BY_FORMER_LEADER) {
                    grant(s, i, rest, message, s.previousStep);
                }
            } else if (message.process == d.process || mutation == Mutation.GRANT_TO_EARLIER_PROCESS_ACCEPTED) {
                LeaseHolder after = applyGrant(d.holder, message);
                Set<Long> confirms = new HashSet<>(d.confirms);
                if (after != d.holder && after.step().inTransition()) {
                    confirms.add(after.step().number());
                }
                visit(s, i, new Director(d.process, after, List.copyOf(rest), Set.copyOf(confirms), d.confirmed),
                        s.crashes);
            }
        }
    }

    /** Removes a request whose grant has been lost, as it can no longer have an effect. */
    private static LeaseHolder withoutRequest(LeaseHolder holder, Message message) {
        Map<Long, Long> requests = new TreeMap<>(holder.requests());
        requests.remove(message.requestId);
        return new LeaseHolder(holder.step(), holder.expiresAtUs(), Map.copyOf(requests), holder.rejectedStep());
    }

    private void grant(State s, int i, List<Message> rest, Message request, PolicyTransition step) {
        Director d = s.directors.get(i);
        visit(s, i, withMessage(d, d.holder, rest, new Message(request.process, request.requestId, step)),
                s.crashes);
    }

    private LeaseHolder applyGrant(LeaseHolder holder, Message message) {
        LeaseHolder current = holder;
        if (mutation == Mutation.LEASE_STARTS_AT_GRANT && holder.requests().containsKey(message.requestId)) {
            current = holder.request(message.requestId, 0);
        } else if (mutation == Mutation.GRANT_TO_EARLIER_PROCESS_ACCEPTED) {
            current = holder.request(message.requestId, holder.requests().getOrDefault(message.requestId, 0L));
        } else if (mutation == Mutation.EARLIER_STEP_ACCEPTED) {
            current = new LeaseHolder(null, holder.expiresAtUs(), holder.requests(), holder.rejectedStep());
        }
        LeaseHolder after = current.grant(message.requestId, message.granted, timing);
        if (mutation == Mutation.LEASE_EXTENDED_WITHOUT_NEW_STEP && after != current && holder.step() != null) {
            after = new LeaseHolder(holder.step(), after.expiresAtUs(), after.requests(), after.rejectedStep());
        }
        return after == current ? holder : after;
    }

    private static Director withMessage(Director d, LeaseHolder holder, List<Message> rest, Message added) {
        List<Message> all = new ArrayList<>(rest);
        all.add(added);
        all.sort(Comparator.comparing(Message::process).thenComparing(Message::requestId)
                .thenComparing(each -> each.granted == null ? PolicyTransition.NONE : each.granted.number()));
        return new Director(d.process, holder, List.copyOf(all), d.confirms, d.confirmed);
    }

    private void visit(State s, int i, Director changed, int crashes) {
        List<Director> directors = new ArrayList<>(s.directors);
        directors.set(i, changed);
        visit(new State(s.register, s.previousStep, s.observedStep, s.observedAtUs, directors, s.proposed, s.aborts,
                crashes, s.highestAlone));
    }

    /** Advances time by one tick. Times are relative to the new present and limited to the maximum age. */
    private State tick(State s) {
        List<Director> directors = new ArrayList<>();
        for (Director d : s.directors) {
            Map<Long, Long> requests = new TreeMap<>();
            d.holder.requests().forEach((requestId, at) -> requests.put(requestId, Math.max(-MAX_AGE, at - 1)));
            directors.add(
                    new Director(d.process,
                            new LeaseHolder(d.holder.step(), Math.max(0, d.holder.expiresAtUs() - 1),
                                    Map.copyOf(requests), d.holder.rejectedStep()),
                            d.inFlight, d.confirms, d.confirmed));
        }
        return new State(s.register, s.previousStep, s.observedStep, Math.max(-MAX_AGE, s.observedAtUs - 1), directors,
                s.proposed, s.aborts, s.crashes, s.highestAlone);
    }

    /** Arguments: directors, messages in flight per director, changes, aborts, mutation. */
    public static void main(String[] args) {
        StepSearch search = new StepSearch(Integer.parseInt(args[0]), Integer.parseInt(args[1]),
                Integer.parseInt(args[2]), Integer.parseInt(args[3]), Mutation.valueOf(args[4]));
        long startNs = System.nanoTime();
        String found = search.run();
        System.out.println("step-search: " + String.join(" ", args) + " states=" + search.states() + " directors="
                + search.numbers.size() + " ms=" + (System.nanoTime() - startNs) / 1_000_000 + " violation=" + found);
    }
}
