package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Appends the changes that directors forward to the log, at the leader: it fetches the text from the director, then
 * replicates its parts and the proposal. A director repeats its request until it receives a result. Not thread-safe.
 */
final class ChangeProposer {

    /** The maximum number of requests. The oldest is dropped; its director repeats it. */
    private static final int MAX_REQUESTS = 64;
    private static final int PARTS_PER_FETCH = 16;

    private enum Stage { FETCHING, REPLICATING }

    private final int self;
    private final RaftReplica<PolicyStateMachine> replica;
    private final PolicyVersions versions;
    private final MessageTransport transport;
    /** The stage of each request, by its director and request ID. */
    private final Map<String, Stage> stages = new LinkedHashMap<>();

    ChangeProposer(int self, RaftReplica<PolicyStateMachine> replica, PolicyVersions versions,
            MessageTransport transport) {
        this.self = self;
        this.replica = replica;
        this.versions = versions;
        this.transport = transport;
    }

    /** Discards the requests of a term that has ended. */
    void tick() {
        if (!replica.isLeader()) {
            stages.clear();
        }
    }

    /** Handles a change that a director's operators have requested. */
    void onChangeRequest(PolicyMessage.ChangeRequest request) {
        if (!replica.isLeader()) {
            transport.send(request.from(),
                    new PolicyMessage.LeaderHint(self, request.requestId(), replica.leader()));
        } else if (request.digest().isEmpty()) {
            abort(request);
        } else {
            propose(request);
            while (stages.size() > MAX_REQUESTS) {
                stages.remove(stages.keySet().iterator().next());
            }
        }
    }

    private void abort(PolicyMessage.ChangeRequest request) {
        PolicyRegister register = replica.machine().register();
        boolean inTransition = register.step().inTransition() && register.step().next() == request.baseVersion();
        if (inTransition) {
            replica.replicate(new PolicyChange.Abort(register.step().number(), "taken back by operators"),
                    result -> {});
        }
        transport.send(request.from(), new PolicyMessage.ChangeResponse(self, request.requestId(),
                inTransition ? ProposalResult.BEGUN : ProposalResult.CONFLICT, request.baseVersion()));
    }

    private void propose(PolicyMessage.ChangeRequest request) {
        PolicyRegister register = replica.machine().register();
        String key = request.from() + "/" + request.requestId();
        ProposalResult result =
                register.evaluate(new PolicyChange.Propose(request.baseVersion(), request.digest()));
        Optional<PolicyDocument> document = versions.find(request.digest());
        if (result == ProposalResult.SAME || result == ProposalResult.CONFLICT) {
            respond(request, result, register);
        } else if (document.isEmpty()) {
            stages.put(key, Stage.FETCHING);
            for (int number : versions.missingParts(request.digest(), request.parts(), PARTS_PER_FETCH)) {
                transport.send(request.from(), new PolicyMessage.PartRequest(self, request.digest(), number));
            }
        } else if (stages.get(key) != Stage.REPLICATING) {
            stages.put(key, Stage.REPLICATING);
            replicate(request, document.get().parts(), 0, key);
        }
    }

    /** Replicates the parts one by one, then the proposal. After a failure the director's next request starts over. */
    private void replicate(PolicyMessage.ChangeRequest request, List<String> parts, int number, String key) {
        boolean partsLeft = number < parts.size();
        PolicyChange change = partsLeft ? new PolicyChange.AppendPart(request.digest(), number, parts.get(number))
                : new PolicyChange.Propose(request.baseVersion(), request.digest());
        replica.replicate(change, result -> {
            if (result == null) {
                stages.remove(key);
            } else if (partsLeft) {
                replicate(request, parts, number + 1, key);
            } else {
                stages.remove(key);
                respond(request, (ProposalResult) result, replica.machine().register());
            }
        });
    }

    private void respond(PolicyMessage.ChangeRequest request, ProposalResult result, PolicyRegister register) {
        long version = register.step().inTransition() ? register.step().next() : register.step().version();
        transport.send(request.from(),
                new PolicyMessage.ChangeResponse(self, request.requestId(), result, version));
    }
}
