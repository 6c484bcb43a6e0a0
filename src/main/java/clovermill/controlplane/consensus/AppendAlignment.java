package clovermill.controlplane.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;

/**
 * The handling of an append that starts before the follower's last entry. The leader's log contains all committed
 * entries, so such an append can be shortened to start at the commit index. MicroRaft 0.7 needs this in two cases. It
 * asserts that no append starts before the commit index. And it looks up the previous entry in its log only, so it
 * rejects forever an append that starts at its snapshot while entries follow the snapshot
 * (docs/incidents/append-at-snapshot.md).
 */
sealed interface AppendAlignment {

    /** The append is passed to MicroRaft, possibly without the entries that the follower already has. */
    record Forward(AppendEntriesRequest append) implements AppendAlignment {}

    /**
     * The logs match up to the append's previous entry, which MicroRaft does not find, and the append has no entries.
     */
    record Matched(AppendEntriesRequest append) implements AppendAlignment {}

    /** The follower's entries from an index on conflict with the leader's and must be removed. */
    record Conflict(long index) implements AppendAlignment {}

    /**
     * Determines the handling of an append from a leader whose term is at least the follower's.
     *
     * @param commitIndex the follower's commit index, which is not lower than its snapshot's index
     */
    static AppendAlignment of(AppendEntriesRequest append, LogTerms log, long commitIndex, RaftModelFactory models) {
        AppendEntriesRequest aligned = append.getPreviousLogIndex() >= commitIndex ? append
                : from(append, commitIndex, log.term(commitIndex), models);
        long previous = aligned.getPreviousLogIndex();
        boolean comparable = previous == 0 || log.contains(previous) || previous >= log.lastIndex();
        if (comparable || previous > commitIndex) {
            return new Forward(aligned);
        }
        List<LogEntry> entries = aligned.getLogEntries();
        int matching = 0;
        while (matching < entries.size()
                && log.matches(entries.get(matching).getIndex(), entries.get(matching).getTerm())) {
            matching++;
        }
        if (matching > 0) {
            LogEntry last = entries.get(matching - 1);
            return new Forward(from(aligned, last.getIndex(), last.getTerm(), models));
        }
        return entries.isEmpty() ? new Matched(aligned) : new Conflict(entries.get(0).getIndex());
    }

    /** Returns the part of an append after an entry that the follower has. */
    private static AppendEntriesRequest from(AppendEntriesRequest append, long previousIndex, int previousTerm,
            RaftModelFactory models) {
        List<LogEntry> remaining =
                append.getLogEntries().stream().filter(entry -> entry.getIndex() > previousIndex).toList();
        return models.createAppendEntriesRequestBuilder().setGroupId(append.getGroupId()).setSender(append.getSender())
                .setTerm(append.getTerm()).setPreviousLogTerm(previousTerm).setPreviousLogIndex(previousIndex)
                .setCommitIndex(append.getCommitIndex()).setLogEntries(remaining)
                .setQuerySequenceNumber(append.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(append.getFlowControlSequenceNumber()).build();
    }
}
