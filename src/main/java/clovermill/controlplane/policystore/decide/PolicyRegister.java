package clovermill.controlplane.policystore.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicated state: the same log of {@link PolicyChange}s gives the same register at every replica. Immutable.
 *
 * @param policy the policy in force; in a transition the previous one
 * @param pending the policy that a transition introduces, or null without one
 * @param lastChange how the last transition ended
 * @param draft the text that is being received
 */
public record PolicyRegister(PolicyTransition step, PolicyDocument policy, PolicyDocument pending,
        LastChange lastChange, Draft draft) {

    /** The largest text of a policy, in parts. */
    public static final int MAX_PARTS = 4096;
    private static final Draft NO_DRAFT = new Draft("", List.of());
    /** Before any change. */
    public static final PolicyRegister INITIAL = new PolicyRegister(PolicyTransition.FIRST, PolicyDocument.EMPTY, null,
            new LastChange(PolicyTransition.NONE, null), NO_DRAFT);

    /**
     * How the last transition ended.
     *
     * @param version the version it introduced, {@link PolicyTransition#NONE} before the first
     * @param abortReason why it was aborted, or null if it completed
     */
    public record LastChange(long version, String abortReason) {}

    /** The parts received so far of the text with a digest. */
    public record Draft(String digest, List<String> parts) {}

    /** The register after a log entry. */
    public PolicyRegister apply(PolicyChange change) {
        if (change instanceof PolicyChange.AppendPart part) {
            return new PolicyRegister(step, policy, pending, lastChange, append(part));
        }
        if (change instanceof PolicyChange.Propose propose && evaluate(propose) == ProposalResult.BEGUN) {
            return new PolicyRegister(step.propose(), policy, PolicyDocument.of(String.join("", draft.parts())),
                    lastChange, NO_DRAFT);
        }
        if (change instanceof PolicyChange.Complete complete && ends(complete.step())) {
            return new PolicyRegister(step.complete(), pending, null, new LastChange(step.next(), null), draft);
        }
        if (change instanceof PolicyChange.Abort abort && ends(abort.step())) {
            return new PolicyRegister(step.abort(), policy, null, new LastChange(step.next(), abort.reason()), draft);
        }
        return this;
    }

    private boolean ends(long number) {
        return step.inTransition() && number == step.number();
    }

    private Draft append(PolicyChange.AppendPart part) {
        boolean same = draft.digest().equals(part.digest());
        if (part.number() == 0 && !(same && !draft.parts().isEmpty())) {
            return new Draft(part.digest(), List.of(part.text()));
        }
        if (!same || part.number() != draft.parts().size() || part.number() >= MAX_PARTS) {
            return draft; // a repeated part, or one out of order
        }
        List<String> parts = new ArrayList<>(draft.parts());
        parts.add(part.text());
        return new Draft(part.digest(), List.copyOf(parts));
    }

    /** The result that a proposal would have now; of two proposals on the same base version the first one wins. */
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

    /** The document with a digest, if it is in force or pending. */
    public Optional<PolicyDocument> findDocument(String digest) {
        if (policy.digest().equals(digest)) {
            return Optional.of(policy);
        }
        return Optional.ofNullable(pending).filter(document -> document.digest().equals(digest));
    }
}
