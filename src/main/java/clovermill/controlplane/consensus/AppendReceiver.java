package clovermill.controlplane.consensus;

import io.microraft.RaftNode;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;

/** Passes a leader's appends to MicroRaft, aligned with the follower's log. Not thread-safe. */
final class AppendReceiver {

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final RaftNode node;
    private final LogTerms log;
    private long conflictIndex = RaftReplica.NO_CONFLICT;
    /** The last append that matched although MicroRaft rejects it; null once it has been answered. */
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
     * Receives an append from a leader whose term is the current one or a higher one. Most appends start at the last
     * entry and are passed on unchanged; the others are aligned with the commit index.
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
            node.handle(matchedAppend); // adopts its term and leader; the failure response is replaced
        }
    }

    /** Returns the response to send: a success in place of MicroRaft's failure response to {@link #matchedAppend}. */
    RaftMessage responseFor(AppendEntriesFailureResponse failure) {
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
