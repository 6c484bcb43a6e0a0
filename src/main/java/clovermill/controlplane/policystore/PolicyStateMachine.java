package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.ReplicatedStateMachine;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The register as MicroRaft's state machine: the same log gives the same register. */
final class PolicyStateMachine implements ReplicatedStateMachine {

    /** The first entry of a leader's term, which changes nothing. */
    record NewTerm() {}

    /** Asks for the register. */
    record Look() {}

    /**
     * A piece of a snapshot: first the steps, then parts of the text in force, of the one to come, and of the draft.
     */
    record Head(PolicyTransition step, long endedVersion, String endedReason, String draftDigest) {}

    /** A part of the text that is in force (0), to come (1) or a draft (2). */
    record Piece(int which, String text) {}

    private final Consumer<PolicyRegister> changed;
    private PolicyRegister register = PolicyRegister.FIRST;
    private boolean began;

    /** {@code changed} hears of each register that is another than before. */
    PolicyStateMachine(Consumer<PolicyRegister> changed) {
        this.changed = changed;
    }

    @Override
    public boolean hasApplied() {
        return began;
    }

    PolicyRegister register() {
        return register;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        began = true;
        if (operation instanceof PolicyChange.Propose propose) {
            PolicyRegister.Taken taken = register.answer(propose);
            become(register.after(propose));
            return taken;
        }
        if (operation instanceof PolicyChange change) {
            become(register.after(change));
        }
        return register;
    }

    private void become(PolicyRegister next) {
        if (next != register) {
            register = next;
            changed.accept(next);
        }
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(new Head(register.step(), register.last().version(), register.last().reason(),
                register.draft().digest()));
        register.policy().parts().forEach(part -> chunks.accept(new Piece(0, part)));
        if (register.pending() != null) {
            register.pending().parts().forEach(part -> chunks.accept(new Piece(1, part)));
        }
        register.draft().parts().forEach(part -> chunks.accept(new Piece(2, part)));
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        began = true;
        Head head = (Head) chunks.get(0);
        List<StringBuilder> texts = List.of(new StringBuilder(), new StringBuilder());
        List<String> draft = new ArrayList<>();
        for (Object chunk : chunks.subList(1, chunks.size())) {
            Piece piece = (Piece) chunk;
            if (piece.which < 2) {
                texts.get(piece.which).append(piece.text);
            } else {
                draft.add(piece.text);
            }
        }
        become(new PolicyRegister(head.step, PolicyDocument.of(texts.get(0).toString()), head.step.both()
                ? PolicyDocument.of(texts.get(1).toString()) : null,
                new PolicyRegister.Ended(head.endedVersion, head.endedReason),
                new PolicyRegister.Draft(head.draftDigest, List.copyOf(draft))));
    }

    @Override
    public Object getNewTermOperation() {
        return new NewTerm();
    }
}
