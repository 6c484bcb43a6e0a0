package clovermill.controlplane.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A replicated list of texts; a snapshot has one chunk for each text. */
final class Journal implements ReplicatedStateMachine {

    /** The first entry of each term, which is not part of the list. */
    private static final String NEW_TERM = "new term";

    private final List<String> texts = new ArrayList<>();
    private boolean applied;

    List<String> texts() {
        return List.copyOf(texts);
    }

    @Override
    public boolean hasApplied() {
        return applied;
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        applied = true;
        if (!NEW_TERM.equals(operation)) {
            texts.add((String) operation);
        }
        return commitIndex;
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(NEW_TERM); // a snapshot must have at least one chunk
        texts.forEach(chunks);
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        applied = true;
        texts.clear();
        chunks.stream().skip(1).forEach(each -> texts.add((String) each));
    }

    @Override
    public Object getNewTermOperation() {
        return NEW_TERM;
    }
}
