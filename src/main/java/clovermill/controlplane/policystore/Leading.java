package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.policystore.decide.Coordinator;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.MonotonicClock;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;

/**
 * What a voter does while it leads: answers questions by a read of the register that begins after they came, takes
 * changes on or back as the {@link Coordinator} decides, and puts into the log what operators hand in.
 */
final class Leading {

    private static final int MOST_WAITING = 4096;
    private static final int MOST_SUBMITTED = 64;
    private static final int PARTS_AT_ONCE = 16;
    /** How often all are called on after a change. */
    private static final int CALLS = 3;

    private enum Stage { FETCHING, PUTTING }

    private final int self;
    private final LeaseTiming terms;
    private final RaftReplica<PolicyStateMachine> voter;
    private final PolicyVersions library;
    private final MessageTransport post;
    private final BiPredicate<PolicyDocument, PolicyDocument> binding;
    private final MonotonicClock steady;
    private List<PolicyMessage.Ask> waiting = new ArrayList<>();
    private final Map<String, Stage> submitted = new LinkedHashMap<>();
    private Coordinator overseer = Coordinator.IDLE;
    private boolean reading;
    private boolean deciding;
    private long callAtUs;
    private int calls;

    /** {@code binding} says whether all that differs between two policies is refused where there is no lease. */
    Leading(int self, LeaseTiming terms, RaftReplica<PolicyStateMachine> voter, PolicyVersions library,
            MessageTransport post,
            BiPredicate<PolicyDocument, PolicyDocument> binding, long nowUs) {
        this.self = self;
        this.terms = terms;
        this.voter = voter;
        this.library = library;
        this.post = post;
        this.binding = binding;
        this.steady = new MonotonicClock(nowUs, Math.min(terms.askUs(), 1_000_000));
    }

    /** Does what is due while this voter leads; returns when it is to be called again. */
    long tick(long nowUs) {
        long livedUs = steady.at(nowUs);
        PolicyRegister register = voter.machine().register();
        overseer = overseer.learned(register.step(), livedUs);
        if (!voter.leads()) {
            waiting.clear();
            submitted.clear();
            return nowUs + terms.askUs() / 2;
        }
        read();
        if (register.step().both() && !deciding) {
            PolicyChange due =
                    overseer.due(register, terms, binding.test(register.policy(), register.pending()), livedUs);
            if (due != null) {
                deciding = true;
                voter.replicate(due, result -> deciding = false);
            }
        }
        boolean calling = register.step().both() || calls > 0;
        if (calling && nowUs >= callAtUs) {
            callAtUs = nowUs + terms.askUs() / 5;
            calls--;
            // In a change those that have not confirmed; after it all, more than once, as a call may be lost.
            for (int director = 0; director < terms.directors(); director++) {
                if (!register.step().both() || !overseer.confirmed().containsKey(director)) {
                    post.send(director, new PolicyMessage.Elsewhere(self, -1, self));
                }
            }
        }
        return nowUs + (calling ? terms.askUs() / 10 : terms.askUs() / 2);
    }

    /** The register has changed: who may not know of it is called on. */
    void changed() {
        callAtUs = 0;
        calls = CALLS;
    }

    void asked(PolicyMessage.Ask ask) {
        if (!voter.leads()) {
            post.send(ask.from(), new PolicyMessage.Elsewhere(self, ask.question(), voter.leader()));
            return;
        }
        overseer = overseer.confirmed(ask.from(), ask.boot(), ask.step());
        if (ask.no() != null) {
            overseer = overseer.refused(ask.noTo(), "director " + ask.from() + ": " + ask.no());
        }
        if (waiting.size() < MOST_WAITING) {
            waiting.add(ask);
        }
        read();
    }

    /** One read at a time; those who ask meanwhile are answered by the next. */
    private void read() {
        if (reading || waiting.isEmpty()) {
            return;
        }
        List<PolicyMessage.Ask> batch = waiting;
        waiting = new ArrayList<>();
        reading = true;
        voter.query(new PolicyStateMachine.Look(), answer -> {
            reading = false;
            if (answer instanceof PolicyRegister register) {
                batch.forEach(ask -> post.send(ask.from(), grant(ask, register)));
            }
            read();
        });
    }

    private PolicyMessage.Grant grant(PolicyMessage.Ask ask, PolicyRegister register) {
        boolean both = register.step().both();
        return new PolicyMessage.Grant(self, ask.boot(), ask.question(), register.step(), register.policy().digest(),
                register.policy().parts().size(), both ? register.pending().digest() : "",
                both ? register.pending().parts().size() : 0, both ? missing() : Set.of(),
                both ? Math.max(0, terms.outUs() - overseer.livedSince(steady)) : 0, register.last().reason());
    }

    private Set<Integer> missing() {
        Set<Integer> missing = new TreeSet<>();
        for (int i = 0; i < terms.directors(); i++) {
            if (!overseer.confirmed().containsKey(i)) {
                missing.add(i);
            }
        }
        return missing;
    }

    /** Operators at a director want a change. */
    void submitted(PolicyMessage.Submit submit) {
        if (!voter.leads()) {
            post.send(submit.from(), new PolicyMessage.Elsewhere(self, submit.call(), voter.leader()));
            return;
        }
        PolicyRegister register = voter.machine().register();
        String key = submit.from() + "/" + submit.call();
        if (submit.digest().isEmpty()) {
            boolean there = register.step().both() && register.step().next() == submit.follows();
            if (there) {
                voter.replicate(new PolicyChange.Abort(register.step().number(), "taken back by operators"),
                        result -> {});
            }
            post.send(submit.from(),
                    new PolicyMessage.Submitted(self, submit.call(), there ? Taken.BEGUN : Taken.CONFLICT,
                            submit.follows()));
            return;
        }
        PolicyChange.Propose propose = new PolicyChange.Propose(submit.follows(), submit.digest());
        Taken now = register.answer(propose);
        if (now == Taken.SAME || now == Taken.CONFLICT) {
            answer(submit, now, register);
        } else if (library.get(submit.digest()) == null) {
            submitted.put(key, Stage.FETCHING);
            for (int number : library.wanted(submit.digest(), submit.parts(), PARTS_AT_ONCE)) {
                post.send(submit.from(), new PolicyMessage.PartAsk(self, submit.digest(), number));
            }
        } else if (submitted.get(key) != Stage.PUTTING) {
            submitted.put(key, Stage.PUTTING);
            put(submit, library.get(submit.digest()).parts(), 0, key);
        }
        while (submitted.size() > MOST_SUBMITTED) {
            submitted.remove(submitted.keySet().iterator().next());
        }
    }

    /** Puts part after part, then the proposal; if the log takes one no more the director hands it in again. */
    private void put(PolicyMessage.Submit submit, List<String> parts, int at, String key) {
        PolicyChange change = at < parts.size() ? new PolicyChange.Part(submit.digest(), at, parts.get(at))
                : new PolicyChange.Propose(submit.follows(), submit.digest());
        voter.replicate(change, result -> {
            if (result == null) {
                submitted.remove(key);
            } else if (at < parts.size()) {
                put(submit, parts, at + 1, key);
            } else {
                submitted.remove(key);
                answer(submit, (Taken) result, voter.machine().register());
            }
        });
    }

    private void answer(PolicyMessage.Submit submit, Taken taken, PolicyRegister register) {
        long version = register.step().both() ? register.step().next() : register.step().version();
        post.send(submit.from(), new PolicyMessage.Submitted(self, submit.call(), taken, version));
    }
}
