package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.RaftMember;
import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.consensus.RaftScheduler;
import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import clovermill.runtime.task.Task;
import io.microraft.RaftConfig;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One director's part in the policy store: dispatches messages to its {@link LeaseClient} and {@link ChangeForwarder}
 * and, at a voter, to its Raft member, its {@link PolicyLeader} and its {@link ChangeProposer}. All state is its own;
 * it meets other directors by messages only.
 */
public final class PolicyStoreTask implements Task<PolicyTaskMessage> {

    /**
     * The members of the store, and which of them this director is.
     *
     * @param self this director's number
     * @param voters the numbers of the directors that vote, the same list everywhere
     */
    public record Membership(int self, List<Integer> voters, LeaseTiming timing) {}

    private static final RaftConfig CONFIG = RaftReplica.config().build();

    private final Membership membership;
    private final PolicyRules rules;
    private final MessageTransport transport;
    private final RaftScheduler scheduler;
    private final PolicyVersions versions = new PolicyVersions();
    private final LeaseClient leaseClient;
    private final ChangeForwarder changeForwarder;
    /** Null at a director that does not vote. */
    private final RaftMember<PolicyStateMachine> member;
    /** Null as long as there is no replica, as are the next two. */
    private PolicyLeader policyLeader;
    private ChangeProposer changeProposer;
    private long nowUs;

    /**
     * Starts at {@code nowUs}; a voter restores its state from its storage.
     *
     * @param storage a voter's durable storage; null at a director that does not vote
     * @param listener is called with each change of the policy in force here
     */
    public PolicyStoreTask(Membership membership, PolicyRules rules, MessageTransport transport, RaftStorage storage,
            Random random, Consumer<PolicyView> listener, long nowUs) {
        this.membership = membership;
        this.rules = rules;
        this.transport = transport;
        this.scheduler = new RaftScheduler(nowUs);
        this.nowUs = nowUs;
        versions.add(PolicyDocument.EMPTY);
        leaseClient = new LeaseClient(membership, random.nextLong(), versions, transport, rules.validate(), listener);
        changeForwarder = new ChangeForwarder(membership, transport, random.nextLong() >>> 1);
        member = storage == null ? null : raftMember(storage, random);
        if (member != null) {
            member.restore();
        }
    }

    private RaftMember<PolicyStateMachine> raftMember(RaftStorage storage, Random random) {
        RaftReplica.Host host = new RaftReplica.Host(PolicyOperationCodec.GROUP, CONFIG, storage, scheduler, random,
                (to, message) -> transport.send(to.node(),
                        new PolicyMessage.RaftEnvelope(membership.self(), to.disk(), message)));
        return new RaftMember<>(
                new RaftMember.Membership(membership.self(), membership.voters(),
                        membership.timing().renewalUs() / 2),
                storage, host, () -> new PolicyStateMachine(this::onRegisterChanged), this::onReplicaCreated,
                new JoinMessages());
    }

    /** Sends the messages of voters that join. */
    private final class JoinMessages implements RaftMember.JoinTransport {
        @Override
        public void sendJoinRequest(int to, long disk, boolean empty) {
            transport.send(to, new PolicyMessage.JoinRequest(membership.self(), disk, empty));
        }

        @Override
        public void sendJoinResponse(int to, long disk, boolean hasGroup, boolean isVoter) {
            transport.send(to, new PolicyMessage.JoinResponse(membership.self(), disk, hasGroup, isVoter));
        }
    }

    /** Whether this director leads the voters, as far as it knows. */
    public boolean leads() {
        return member != null && member.leads();
    }

    /** The policy in force here. */
    public PolicyView view() {
        return leaseClient.view();
    }

    private RaftReplica<PolicyStateMachine> replica() {
        return member == null ? null : member.replica();
    }

    private void onReplicaCreated(RaftReplica<PolicyStateMachine> replica) {
        policyLeader = new PolicyLeader(membership, replica, transport, rules.enforcedByLease(), nowUs);
        changeProposer = new ChangeProposer(membership.self(), replica, versions, transport);
    }

    private void onRegisterChanged(PolicyRegister register) {
        versions.add(register.policy());
        if (register.pending() != null) {
            versions.add(register.pending());
        }
        if (policyLeader != null) {
            policyLeader.onRegisterChanged();
        }
    }

    @Override
    public void on(PolicyTaskMessage event, long eventUs) {
        nowUs = eventUs;
        scheduler.run(nowUs);
        if (event instanceof PolicyTaskMessage.MessageReceived received) {
            receive(received.message());
        } else if (event instanceof PolicyTaskMessage.ChangeRequested change) {
            changeForwarder.request(change, nowUs);
        }
        scheduler.run(nowUs);
    }

    private void receive(PolicyMessage message) {
        if (message instanceof PolicyMessage.LeaseGrant grant) {
            leaseClient.onLeaseGrant(grant, nowUs);
        } else if (message instanceof PolicyMessage.LeaderHint hint) {
            leaseClient.onLeaderHint(hint, nowUs);
        } else if (message instanceof PolicyMessage.PartResponse part) {
            leaseClient.onPartResponse(part, nowUs);
        } else if (message instanceof PolicyMessage.PartRequest request) {
            sendPart(request);
        } else if (message instanceof PolicyMessage.ChangeResponse response) {
            changeForwarder.onChangeResponse(response);
        } else if (member != null) {
            receiveAsVoter(message);
        }
    }

    private void receiveAsVoter(PolicyMessage message) {
        if (message instanceof PolicyMessage.JoinResponse response) {
            member.onJoined(response.from(), response.disk(), response.hasGroup(), response.isVoter());
        } else if (message instanceof PolicyMessage.JoinRequest request) {
            member.onJoin(request.from(), request.disk(), request.empty());
        } else if (replica() != null) {
            receiveAsReplica(message);
        }
    }

    private void receiveAsReplica(PolicyMessage message) {
        if (message instanceof PolicyMessage.RaftEnvelope raft && raft.disk() == replica().self().disk()) {
            replica().handle(raft.message(), nowUs);
        } else if (message instanceof PolicyMessage.LeaseRequest request) {
            policyLeader.onLeaseRequest(request);
        } else if (message instanceof PolicyMessage.ChangeRequest request) {
            changeProposer.onChangeRequest(request);
        }
    }

    private void sendPart(PolicyMessage.PartRequest request) {
        Optional<PolicyDocument> document = versions.find(request.digest())
                .or(() -> replica() == null ? Optional.empty()
                        : replica().machine().register().findDocument(request.digest()))
                .or(() -> changeForwarder.findDocument(request.digest()));
        List<String> parts = document.map(PolicyDocument::parts).orElse(List.of());
        if (request.number() >= 0 && request.number() < parts.size()) {
            transport.send(request.from(), new PolicyMessage.PartResponse(membership.self(), request.digest(),
                    request.number(), parts.size(), parts.get(request.number())));
        }
    }

    @Override
    public long tick(long tickUs) {
        nowUs = tickUs;
        long next = scheduler.run(nowUs);
        next = Math.min(next, member == null ? Long.MAX_VALUE : tickMember());
        changeForwarder.tick(leaseClient.leader(), nowUs);
        next = Math.min(next, leaseClient.tick(nowUs));
        if (policyLeader != null) {
            changeProposer.tick();
            next = Math.min(next, policyLeader.tick(nowUs));
        }
        next = Math.min(next, scheduler.run(nowUs));
        return Math.min(next, changeForwarder.nextTickUs());
    }

    /** A voter whose storage has failed has no replica, and leads nothing, until the storage has recovered. */
    private long tickMember() {
        long recoverAtUs = member.recover(nowUs);
        if (replica() == null) {
            policyLeader = null;
            changeProposer = null;
        }
        member.restartIfStuck(nowUs);
        return Math.min(recoverAtUs, member.join(nowUs));
    }

    @Override
    public void stop(long stopUs) {
        if (member != null) {
            member.stop();
        }
        scheduler.run(stopUs);
    }
}
