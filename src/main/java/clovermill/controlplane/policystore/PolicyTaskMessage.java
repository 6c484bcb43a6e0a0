package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import java.util.function.BiConsumer;

/** What an {@link PolicyStoreTask} takes: a letter from a fellow, or what this director's operators want. */
public sealed interface PolicyTaskMessage {

    /** A letter has come. */
    record Arrived(PolicyMessage letter) implements PolicyTaskMessage {}

    /**
     * Operators hand in a policy in place of version {@code follows}, or take back the change that brings it, where
     * {@code policy} is null. {@code done} hears once what became of it, and the version; it must not wait.
     */
    record Wanted(long follows, PolicyDocument policy, BiConsumer<Taken, Long> done) implements PolicyTaskMessage {}
}
