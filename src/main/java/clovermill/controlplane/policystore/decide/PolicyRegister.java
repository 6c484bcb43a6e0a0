package clovermill.controlplane.policystore.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicated state. Replicas that apply the same log of {@link PolicyChange}s have equal registers. Immutable.
 *
 * @param policy the policy in force; in a transition the previous one
 * @param pending the policy that a transition introduces, or null without one
 * @param lastChange the result of the last transition
 * @param draft the text that is being appended part by part
 */
public record PolicyRegister(PolicyTransition step, PolicyDocument policy, PolicyDocument pending,
        LastChange lastChange, Draft draft) {

    /** The maximum number of parts of a policy's text. */
    public static final int MAX_PARTS = 4096;
    private static final Draft NO_DRAFT = new Draft("", List.of());
    /** The register before any change. */
    public static final PolicyRegister INITIAL = new PolicyRegister(PolicyTransition.FIRST, PolicyDocument.EMPTY, null,
            new LastChange(PolicyTransition.NONE, null), NO_DRAFT);

    /**
     * The result of the last transition.
     *
     * @param version the version that the transition introduced, or {@link PolicyTransition#NONE} before the first one
     * @param abortReason the reason why it was aborted, or null if it completed
     */
    public record LastChange(long version, String abortReason) {}

    /** The parts appended so far of the text with a digest. */
    public record Draft(String digest, List<String> parts) {}

    /** Returns the register after a log entry. */
    public PolicyRegister apply(PolicyChange change) {
        if (change instanceof PolicyChange.AppendPart part) {
            return new PolicyRegister(step, policy, pending, lastChange, append(part));
        }
        if (change instanceof PolicyChange.Propose propose && evaluate(propose) == ProposalResult.BEGUN) {
            return new PolicyRegister(step.propose(), policy, PolicyDocument.of(String.join("", draft.parts())),
                    lastChange, NO_DRAFT);
        }
        if (change instanceof PolicyChange.Complete complete && isCurrentTransition(complete.step())) {
            return new PolicyRegister(step.complete(), pending, null, new LastChange(step.next(), null), draft);
        }
        if (change instanceof PolicyChange.Abort abort && isCurrentTransition(abort.step())) {
            return new PolicyRegister(step.abort(), policy, null, new LastChange(step.next(), abort.reason()), draft);
        }
        return this;
    }

    private boolean isCurrentTransition(long number) {
        return step.inTransition() && number == step.number();
    }

    private Draft append(PolicyChange.AppendPart part) {
        boolean sameDraft = draft.digest().equals(part.digest());
        if (part.number() == 0 && !(sameDraft && !draft.parts().isEmpty())) {
            return new Draft(part.digest(), List.of(part.text()));
        }
        if (!sameDraft || part.number() != draft.parts().size() || part.number() >= MAX_PARTS) {
            return draft; // a duplicate or out-of-order part
        }
        List<String> parts = new ArrayList<>(draft.parts());
        parts.add(part.text());
        return new Draft(part.digest(), List.copyOf(parts));
    }

    /** Returns the result of a proposal made now; of two proposals on the same base version the first one succeeds. */
    public ProposalResult evaluate(PolicyChange.Propose propose) {
        PolicyDocument newest = step.inTransition() ? pending : policy;
        if (newest.digest().equals(propose.digest())) {
            return ProposalResult.SAME;
        }
        if (step.inTransition() || propose.baseVersion() != step.version()) {
            return ProposalResult.CONFLICT;
        }
        boolean complete = draft.digest().equals(propose.digest())
                && PolicyDocument.of(String.join("", draft.parts())).digest().equals(propose.digest());
        return complete ? ProposalResult.BEGUN : ProposalResult.UNKNOWN;
    }

    /** Returns the document with a digest if it is in force or pending. */
    public Optional<PolicyDocument> findDocument(String digest) {
        if (policy.digest().equals(digest)) {
            return Optional.of(policy);
        }
        return Optional.ofNullable(pending).filter(document -> document.digest().equals(digest));
    }
}
