package clovermill.controlplane.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;

/**
 * What a follower does with an append that begins before its last entry. Whatever is committed is equal in the leader's
 * log, so such an append may begin at the commit index. MicroRaft 0.7 needs that in two cases: it asserts that no
 * append begins before the commit index, and it compares previous entries with its log only, so that it rejects for
 * ever an append that begins at its snapshot, while entries follow the snapshot (docs/incidents/append-at-snapshot.md).
 */
sealed interface AppendAlignment {

    /** It is handed over, maybe without the entries that the follower has. */
    record Forward(AppendEntriesRequest append) implements AppendAlignment {}

    /** The logs are equal up to its previous entry, which MicroRaft does not find, and it has no entries. */
    record Matched(AppendEntriesRequest append) implements AppendAlignment {}

    /** The follower's entries from an index on conflict with the leader's, and have to go. */
    record Conflict(long index) implements AppendAlignment {}

    /**
     * Decides for an append of a leader whose term is the follower's or a higher one.
     *
     * @param commitIndex the follower's; at or behind its snapshot
     */
    static AppendAlignment of(AppendEntriesRequest append, LogTerms log, long commitIndex, RaftModelFactory models) {
        AppendEntriesRequest aligned = append.getPreviousLogIndex() >= commitIndex ? append
                : from(append, commitIndex, log.term(commitIndex), models);
        long previous = aligned.getPreviousLogIndex();
        boolean comparable = previous == 0 || log.holds(previous) || previous >= log.lastIndex();
        if (comparable || previous > commitIndex) {
            return new Forward(aligned);
        }
        List<LogEntry> entries = aligned.getLogEntries();
        int held = 0;
        while (held < entries.size() && log.matches(entries.get(held).getIndex(), entries.get(held).getTerm())) {
            held++;
        }
        if (held > 0) {
            LogEntry last = entries.get(held - 1);
            return new Forward(from(aligned, last.getIndex(), last.getTerm(), models));
        }
        return entries.isEmpty() ? new Matched(aligned) : new Conflict(entries.get(0).getIndex());
    }

    /** The part of an append behind an entry that the follower has. */
    private static AppendEntriesRequest from(AppendEntriesRequest append, long previousIndex, int previousTerm,
            RaftModelFactory models) {
        List<LogEntry> rest =
                append.getLogEntries().stream().filter(entry -> entry.getIndex() > previousIndex).toList();
        return models.createAppendEntriesRequestBuilder().setGroupId(append.getGroupId()).setSender(append.getSender())
                .setTerm(append.getTerm()).setPreviousLogTerm(previousTerm).setPreviousLogIndex(previousIndex)
                .setCommitIndex(append.getCommitIndex()).setLogEntries(rest)
                .setQuerySequenceNumber(append.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(append.getFlowControlSequenceNumber()).build();
    }
}
