package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import io.microraft.model.message.RaftMessage;
import java.util.Set;

/**
 * What directors tell one another; {@code from} is the sender. All may be lost, come late, twice or in another order.
 */
public sealed interface PolicyMessage {

    /** Who sent it. */
    int from();

    /**
     * A process of a director asks for a lease, and confirms the step that it has, or {@link PolicyTransition#NONE}.
     * It may say no
     * to a step, with the reason; else {@code no} is null.
     */
    record Ask(int from, long boot, long question, long step, long noTo, String no) implements PolicyMessage {}

    /**
     * The step that was agreed after the question was asked, and the digests of its policies; {@code next} may be
     * empty.
     */
    record Grant(int from, long boot, long question, PolicyTransition step, String policy, int policyParts, String next,
            int nextParts, Set<Integer> missing, long leftUs, String lastReason) implements PolicyMessage {}

    /** Not the leader; {@code leader} is, or -1. */
    record Elsewhere(int from, long question, int leader) implements PolicyMessage {}

    /** Asks for a part of a text. */
    record PartAsk(int from, String digest, int number) implements PolicyMessage {}

    /** A part of a text, of so many. */
    record Part(int from, String digest, int number, int parts, String text) implements PolicyMessage {}

    /** A director hands in what its operators want: a new policy in place of a version, or, with no digest, none. */
    record Submit(int from, long call, long follows, String digest, int parts) implements PolicyMessage {}

    /** What became of it; with {@link Taken#UNKNOWN} the leader still fetches the text. */
    record Submitted(int from, long call, Taken taken, long version) implements PolicyMessage {}

    /** The voters' own, for the disk that the receiver has. */
    record Raft(int from, long disk, RaftMessage message) implements PolicyMessage {}

    /**
     * A voter without its disk asks to be taken in with a new one; or, with {@code disk} 0, whether there is a group.
     */
    record Join(int from, long disk, boolean empty) implements PolicyMessage {}

    /** The answer: whether the sender has a group, and whether the asker's disk is in it. */
    record Joined(int from, long disk, boolean group, boolean member) implements PolicyMessage {}
}
