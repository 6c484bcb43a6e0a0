package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.ReplicatedStateMachine;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The MicroRaft state machine that contains the {@link PolicyRegister}. */
final class PolicyStateMachine implements ReplicatedStateMachine {

    /** The first entry of a leader's term, which has no effect. */
    record NewTerm() {}

    /** The query that returns the register. */
    record ReadRegister() {}

    /** The first chunk of a snapshot, with everything except the texts. */
    record SnapshotHeader(PolicyTransition step, long lastVersion, String lastAbortReason, String draftDigest) {}

    /** A subsequent chunk: the next part of the text {@link #IN_FORCE}, {@link #PENDING} or {@link #DRAFT}. */
    record SnapshotPart(int which, String text) {}

    static final int IN_FORCE = 0;
    static final int PENDING = 1;
    static final int DRAFT = 2;

    private final Consumer<PolicyRegister> listener;
    private PolicyRegister register = PolicyRegister.INITIAL;
    private boolean applied;

    /** Creates a state machine with the initial register; {@code listener} is called with each new register. */
    PolicyStateMachine(Consumer<PolicyRegister> listener) {
        this.listener = listener;
    }

    @Override
    public boolean hasApplied() {
        return applied;
    }

    PolicyRegister register() {
        return register;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        applied = true;
        if (operation instanceof PolicyChange.Propose propose) {
            ProposalResult result = register.evaluate(propose);
            update(register.apply(propose));
            return result;
        }
        if (operation instanceof PolicyChange change) {
            update(register.apply(change));
        }
        return register;
    }

    private void update(PolicyRegister next) {
        if (next != register) {
            register = next;
            listener.accept(next);
        }
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(new SnapshotHeader(register.step(), register.lastChange().version(),
                register.lastChange().abortReason(), register.draft().digest()));
        register.policy().parts().forEach(part -> chunks.accept(new SnapshotPart(IN_FORCE, part)));
        if (register.pending() != null) {
            register.pending().parts().forEach(part -> chunks.accept(new SnapshotPart(PENDING, part)));
        }
        register.draft().parts().forEach(part -> chunks.accept(new SnapshotPart(DRAFT, part)));
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        applied = true;
        SnapshotHeader header = (SnapshotHeader) chunks.get(0);
        StringBuilder inForce = new StringBuilder();
        StringBuilder pending = new StringBuilder();
        List<String> draft = new ArrayList<>();
        for (Object chunk : chunks.subList(1, chunks.size())) {
            SnapshotPart part = (SnapshotPart) chunk;
            switch (part.which) {
                case IN_FORCE -> inForce.append(part.text);
                case PENDING -> pending.append(part.text);
                default -> draft.add(part.text);
            }
        }
        update(new PolicyRegister(header.step, PolicyDocument.of(inForce.toString()),
                header.step.inTransition() ? PolicyDocument.of(pending.toString()) : null,
                new PolicyRegister.LastChange(header.lastVersion, header.lastAbortReason),
                new PolicyRegister.Draft(header.draftDigest, List.copyOf(draft))));
    }

    @Override
    public Object getNewTermOperation() {
        return new NewTerm();
    }
}
