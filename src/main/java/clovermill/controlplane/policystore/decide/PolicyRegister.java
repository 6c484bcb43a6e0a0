package clovermill.controlplane.policystore.decide;

import java.util.ArrayList;
import java.util.List;

/**
 * What the voters agree on: the step, the policy in force, the one that is to come (null without a change), how the
 * last change ended, and the parts of a text that is still being put in. A log of changes gives the same register at
 * every voter.
 */
public record PolicyRegister(PolicyTransition step, PolicyDocument policy, PolicyDocument pending, Ended last,
        Draft draft) {

    /** The largest text of a policy, in parts. */
    public static final int MOST_PARTS = 4096;
    private static final Draft NO_DRAFT = new Draft("", List.of());
    /** Before any change. */
    public static final PolicyRegister FIRST = new PolicyRegister(PolicyTransition.FIRST, PolicyDocument.EMPTY, null,
            new Ended(PolicyTransition.NONE, null),
            NO_DRAFT);

    /**
     * The version whose change ended last, {@link PolicyTransition#NONE} before the first, and why it was taken back,
     * or null.
     */
    public record Ended(long version, String reason) {}

    /** The parts of a text so far, by the digest of the whole. */
    public record Draft(String digest, List<String> parts) {}

    /** What became of a proposal. */
    public enum Taken { BEGUN, SAME, CONFLICT, UNKNOWN }

    /** The register after a change. */
    public PolicyRegister after(PolicyChange change) {
        if (change instanceof PolicyChange.Part part) {
            return new PolicyRegister(step, policy, pending, last, drafted(part));
        }
        if (change instanceof PolicyChange.Propose propose && answer(propose) == Taken.BEGUN) {
            return new PolicyRegister(step.propose(), policy, PolicyDocument.of(String.join("", draft.parts())), last,
                    NO_DRAFT);
        }
        if (change instanceof PolicyChange.Settle settle && step.both() && settle.step() == step.number()) {
            return new PolicyRegister(step.settle(), pending, null, new Ended(step.next(), null), draft);
        }
        if (change instanceof PolicyChange.Abort abort && step.both() && abort.step() == step.number()) {
            return new PolicyRegister(step.abort(), policy, null, new Ended(step.next(), abort.reason()), draft);
        }
        return this;
    }

    private Draft drafted(PolicyChange.Part part) {
        boolean same = draft.digest().equals(part.digest());
        if (part.number() == 0 && !(same && !draft.parts().isEmpty())) {
            return new Draft(part.digest(), List.of(part.text()));
        }
        if (!same || part.number() != draft.parts().size() || part.number() >= MOST_PARTS) {
            return draft; // there already, or out of its turn
        }
        List<String> parts = new ArrayList<>(draft.parts());
        parts.add(part.text());
        return new Draft(part.digest(), List.copyOf(parts));
    }

    /** What a proposal would meet now: the same text again is one change, and of two that follow the same one wins. */
    public Taken answer(PolicyChange.Propose propose) {
        PolicyDocument newest = step.both() ? pending : policy;
        if (newest.digest().equals(propose.digest())) {
            return Taken.SAME;
        }
        if (step.both() || propose.follows() != step.version()) {
            return Taken.CONFLICT;
        }
        boolean whole = draft.digest().equals(propose.digest())
                && PolicyDocument.of(String.join("", draft.parts())).digest().equals(propose.digest());
        return whole ? Taken.BEGUN : Taken.UNKNOWN;
    }

    /** A document that is in force or to come, by its digest, or null. */
    public PolicyDocument document(String digest) {
        return policy.digest().equals(digest) ? policy
                : pending != null && pending.digest().equals(digest) ? pending : null;
    }
}
