package clovermill.controlplane.consensus;

import io.microraft.RaftNode;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;

/** Hands a leader's appends over to MicroRaft, aligned with what the follower has. Not thread-safe. */
final class AppendReceiver {

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final RaftNode node;
    private final LogTerms log;
    private long conflictIndex = RaftReplica.NO_CONFLICT;
    /** The last append that matched without MicroRaft's knowledge; null once it is answered. */
    private AppendEntriesRequest matchedAppend;

    AppendReceiver(RaftNode node, LogTerms log) {
        this.node = node;
        this.log = log;
    }

    /** See {@link RaftReplica#conflictIndex}. */
    long conflictIndex() {
        return conflictIndex;
    }

    /**
     * Receives an append of a leader whose term is the present one or a higher one. Those behind the last entry, all
     * but few, are handed over as they are; the others are aligned with the commit index.
     */
    void receive(AppendEntriesRequest append) {
        if (append.getPreviousLogIndex() >= log.lastIndex()) {
            node.handle(append);
            return;
        }
        node.getReport().whenComplete((report, failure) -> {
            if (failure == null) {
                align(append, report.getResult().getLog().getCommitIndex());
            }
        });
    }

    private void align(AppendEntriesRequest append, long commitIndex) {
        AppendAlignment alignment = AppendAlignment.of(append, log, commitIndex, MODELS);
        if (alignment instanceof AppendAlignment.Conflict conflict) {
            conflictIndex = conflict.index();
        } else if (alignment instanceof AppendAlignment.Forward forward) {
            node.handle(forward.append());
        } else if (alignment instanceof AppendAlignment.Matched matched) {
            matchedAppend = matched.append();
            node.handle(matchedAppend); // adopts its term and leader; the failure that it answers is replaced
        }
    }

    /** What is sent in place of MicroRaft's failure: the match, for an append that matched without its knowledge. */
    RaftMessage answer(AppendEntriesFailureResponse failure) {
        boolean matched = matchedAppend != null && failure.getTerm() == matchedAppend.getTerm()
                && failure.getFlowControlSequenceNumber() == matchedAppend.getFlowControlSequenceNumber();
        if (!matched) {
            return failure;
        }
        long matchedIndex = matchedAppend.getPreviousLogIndex();
        matchedAppend = null;
        return MODELS.createAppendEntriesSuccessResponseBuilder().setGroupId(failure.getGroupId())
                .setSender(failure.getSender()).setTerm(failure.getTerm()).setLastLogIndex(matchedIndex)
                .setQuerySequenceNumber(failure.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(failure.getFlowControlSequenceNumber()).build();
    }
}
