package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.Document;
import clovermill.controlplane.policystore.decide.Register.Taken;
import java.util.function.BiConsumer;

/** What an {@link AccordTask} takes: a letter from a fellow, or what this director's operators want. */
public sealed interface Mail {

    /** A letter has come. */
    record Arrived(Letter letter) implements Mail {}

    /**
     * Operators hand in a policy in place of version {@code follows}, or take back the change that brings it, where
     * {@code policy} is null. {@code done} hears once what became of it, and the version; it must not wait.
     */
    record Wanted(long follows, Document policy, BiConsumer<Taken, Long> done) implements Mail {}
}
