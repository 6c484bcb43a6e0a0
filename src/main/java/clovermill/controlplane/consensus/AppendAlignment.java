package clovermill.controlplane.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;

/**
 * What a follower does with an append whose previous entry its snapshot has replaced. MicroRaft 0.7 compares previous
 * entries with its log only, and so rejects for ever an append that begins at or before the snapshot, while entries
 * follow the snapshot (docs/incidents/append-at-snapshot.md). Whatever a snapshot covers is committed, and so equal in
 * the leader's log: such an append may begin at a later entry.
 */
sealed interface AppendAlignment {

    /** It is handed over, maybe without the entries that the follower has. */
    record Forward(AppendEntriesRequest append) implements AppendAlignment {}

    /** The logs are equal up to an index, and the append has nothing behind it. */
    record Matched(long index) implements AppendAlignment {}

    /** The follower's entries from an index on conflict with the leader's, and have to go. */
    record Conflict(long index) implements AppendAlignment {}

    /** Decides for an append of a leader whose term is the follower's or a higher one. */
    static AppendAlignment of(AppendEntriesRequest append, LogTerms log, RaftModelFactory models) {
        long previous = append.getPreviousLogIndex();
        long snapshot = log.snapshotIndex();
        boolean comparable = log.holds(previous) || previous == log.lastIndex();
        if (previous > snapshot || snapshot == LogTerms.NO_SNAPSHOT || comparable) {
            return new Forward(append);
        }
        List<LogEntry> entries = append.getLogEntries();
        int held = 0;
        while (held < entries.size() && isHeld(entries.get(held), log)) {
            held++;
        }
        LogEntry lastHeld = held == 0 ? null : entries.get(held - 1);
        if (lastHeld != null && (log.holds(lastHeld.getIndex()) || lastHeld.getIndex() == log.lastIndex())) {
            return new Forward(from(append, lastHeld, entries.subList(held, entries.size()), models));
        }
        return held < entries.size() ? new Conflict(entries.get(held).getIndex()) : new Matched(snapshot);
    }

    private static boolean isHeld(LogEntry entry, LogTerms log) {
        return entry.getIndex() <= log.snapshotIndex() || log.matches(entry.getIndex(), entry.getTerm());
    }

    private static AppendEntriesRequest from(AppendEntriesRequest append, LogEntry previous, List<LogEntry> rest,
            RaftModelFactory models) {
        return models.createAppendEntriesRequestBuilder().setGroupId(append.getGroupId()).setSender(append.getSender())
                .setTerm(append.getTerm()).setPreviousLogTerm(previous.getTerm())
                .setPreviousLogIndex(previous.getIndex()).setCommitIndex(append.getCommitIndex())
                .setLogEntries(List.copyOf(rest)).setQuerySequenceNumber(append.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(append.getFlowControlSequenceNumber()).build();
    }
}
