package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.policystore.decide.Coordinator;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.MonotonicClock;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;

/**
 * A voter's duties while it is the leader: grants leases on the step that a linearizable read gives, completes or
 * aborts transitions as the {@link Coordinator} decides, and notifies directors of a new step. Not thread-safe.
 */
final class PolicyLeader {

    /** Beyond so many lease requests waiting for a read, further ones are dropped; their senders repeat them. */
    private static final int MAX_WAITING = 4096;
    /** How often all directors are notified after a transition has ended, as a notice may be lost. */
    private static final int NOTICES = 3;
    private static final int NOTICES_PER_RENEWAL = 5;
    private static final int TICKS_PER_RENEWAL_NOTIFYING = 10;
    private static final int TICKS_PER_RENEWAL = 2;
    /** The longest step that counts in full as elapsed time. */
    private static final long MAX_CLOCK_STEP_US = 1_000_000;
    private static final long NO_REQUEST = -1;

    private final int self;
    private final LeaseTiming timing;
    private final RaftReplica<PolicyStateMachine> replica;
    private final MessageTransport transport;
    private final BiPredicate<PolicyDocument, PolicyDocument> enforcedByLease;
    private final MonotonicClock clock;
    private List<PolicyMessage.LeaseRequest> waiting = new ArrayList<>();
    private Coordinator coordinator = Coordinator.IDLE;
    private boolean reading;
    private boolean replicating;
    private long nextNoticeUs;
    private int noticesLeft;

    PolicyLeader(PolicyStoreTask.Membership membership, RaftReplica<PolicyStateMachine> replica,
            MessageTransport transport, BiPredicate<PolicyDocument, PolicyDocument> enforcedByLease, long nowUs) {
        this.self = membership.self();
        this.timing = membership.timing();
        this.replica = replica;
        this.transport = transport;
        this.enforcedByLease = enforcedByLease;
        this.clock = new MonotonicClock(nowUs, Math.min(timing.renewalUs(), MAX_CLOCK_STEP_US));
    }

    /** Does what is due if this voter leads; returns when it is to be called again. */
    long tick(long nowUs) {
        long elapsedUs = clock.advance(nowUs);
        PolicyRegister register = replica.machine().register();
        coordinator = coordinator.observe(register.step(), elapsedUs);
        if (!replica.leads()) {
            waiting.clear();
            return nowUs + timing.renewalUs() / TICKS_PER_RENEWAL;
        }
        readRegister();
        if (register.step().inTransition() && !replicating) {
            replicateNextChange(register, elapsedUs);
        }
        boolean notifying = register.step().inTransition() || noticesLeft > 0;
        if (notifying && nowUs >= nextNoticeUs) {
            nextNoticeUs = nowUs + timing.renewalUs() / NOTICES_PER_RENEWAL;
            noticesLeft--;
            notifyDirectors(register);
        }
        return nowUs + timing.renewalUs() / (notifying ? TICKS_PER_RENEWAL_NOTIFYING : TICKS_PER_RENEWAL);
    }

    private void replicateNextChange(PolicyRegister register, long elapsedUs) {
        Optional<PolicyChange> change = coordinator.nextChange(register, timing,
                enforcedByLease.test(register.policy(), register.pending()), elapsedUs);
        if (change.isPresent()) {
            replicating = true;
            replica.replicate(change.get(), result -> replicating = false);
        }
    }

    /** In a transition those that have not confirmed it; otherwise all. */
    private void notifyDirectors(PolicyRegister register) {
        for (int director = 0; director < timing.directors(); director++) {
            if (!register.step().inTransition() || !coordinator.confirmed().containsKey(director)) {
                transport.send(director, new PolicyMessage.LeaderHint(self, NO_REQUEST, self));
            }
        }
    }

    /** The register has changed: directors are notified with the next tick. */
    void onRegisterChanged() {
        nextNoticeUs = 0;
        noticesLeft = NOTICES;
    }

    /** Handles a lease request, with the confirmation or rejection that it carries. */
    void onLeaseRequest(PolicyMessage.LeaseRequest request) {
        if (!replica.leads()) {
            transport.send(request.from(),
                    new PolicyMessage.LeaderHint(self, request.requestId(), replica.leader()));
            return;
        }
        coordinator = coordinator.confirm(request.from(), request.processId(), request.confirmedStep());
        if (request.rejection() != null) {
            coordinator = coordinator.reject(request.rejectedStep(),
                    "director " + request.from() + ": " + request.rejection());
        }
        if (waiting.size() < MAX_WAITING) {
            waiting.add(request);
        }
        readRegister();
    }

    /** One read at a time; requests that arrive meanwhile are answered by the next one. */
    private void readRegister() {
        if (reading || waiting.isEmpty()) {
            return;
        }
        List<PolicyMessage.LeaseRequest> batch = waiting;
        waiting = new ArrayList<>();
        reading = true;
        replica.query(new PolicyStateMachine.ReadRegister(), answer -> {
            reading = false;
            if (answer instanceof PolicyRegister register) {
                batch.forEach(request -> transport.send(request.from(), grant(request, register)));
            }
            readRegister();
        });
    }

    private PolicyMessage.LeaseGrant grant(PolicyMessage.LeaseRequest request, PolicyRegister register) {
        boolean inTransition = register.step().inTransition();
        String next = inTransition ? register.pending().digest() : "";
        int nextParts = inTransition ? register.pending().parts().size() : 0;
        Set<Integer> unconfirmed = inTransition ? unconfirmed() : Set.of();
        long remainingUs = inTransition
                ? Math.max(0, timing.expiryWaitUs() - coordinator.elapsedUs(clock))
                : 0;
        return new PolicyMessage.LeaseGrant(self, request.processId(), request.requestId(), register.step(),
                register.policy().digest(), register.policy().parts().size(), next, nextParts, unconfirmed,
                remainingUs, register.lastChange().abortReason());
    }

    private Set<Integer> unconfirmed() {
        Set<Integer> unconfirmed = new TreeSet<>();
        for (int director = 0; director < timing.directors(); director++) {
            if (!coordinator.confirmed().containsKey(director)) {
                unconfirmed.add(director);
            }
        }
        return unconfirmed;
    }
}
