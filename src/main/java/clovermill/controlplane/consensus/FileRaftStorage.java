package clovermill.controlplane.consensus;

import clovermill.storage.SegmentReader;
import clovermill.storage.SegmentWriter;
import clovermill.storage.Volume;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Stores a replica's state in a file of checksummed frames, which is synced before anything is acknowledged. On opening
 * the frames are replayed and written to a new file, which then replaces the old one. A torn tail was never
 * acknowledged and is truncated. A file that is damaged elsewhere, or missing, is treated as a lost disk, because the
 * replica's former votes are unknown.
 *
 * <p>After a failed write or sync the file accepts no further writes, because a later sync may succeed without the
 * pages that the failed one dropped (fsync(2)). {@link #recover} writes the complete state to a new file.
 */
public final class FileRaftStorage implements RaftStorage {

    private static final System.Logger LOG = System.getLogger(FileRaftStorage.class.getName());
    private static final String FILE_NAME = "votes";
    private static final int INITIAL_BYTES = 256;
    private static final int ENDPOINT = 1;
    private static final int MEMBERS = 2;
    private static final int TERM = 3;
    private static final int ENTRY = 4;
    private static final int CHUNK = 5;
    private static final int TRUNCATE_FROM = 6;
    private static final int TRUNCATE_UNTIL = 7;
    private static final int DELETE_CHUNKS = 8;

    /** Writes the payload of a frame. */
    private interface Payload {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftLogCodec codec;
    private final MemoryRaftStorage contents = new MemoryRaftStorage();
    private final Volume volume;
    private final String magic;
    private final Path file;
    private SegmentWriter writer;
    private boolean replaying;
    private boolean failed;

    /**
     * Opens the file in a durable folder used by this process only; creates both if they do not exist.
     *
     * @param magic eight characters at the start of the file that identify the subsystem and the format version
     * @throws IOException if the file cannot be read or written, or has another format
     */
    public FileRaftStorage(Volume volume, Path folder, String magic, RaftMessageCodec codec) throws IOException {
        this.codec = codec.log();
        this.magic = magic;
        this.volume = volume;
        this.file = Files.createDirectories(folder).resolve(FILE_NAME);
        boolean complete = Files.exists(file) && replay(file);
        if (!complete) {
            contents.clear();
        }
        replaceFile(complete);
    }

    private boolean replay(Path from) throws IOException {
        boolean[] undamaged = {true};
        replaying = true;
        new SegmentReader().read(from, magic, 0, new SegmentReader.Visitor() {
            @Override
            public boolean frame(int type, ByteBuffer payload) throws IOException {
                byte[] bytes = new byte[payload.remaining()];
                payload.get(bytes);
                apply(type, new DataInputStream(new ByteArrayInputStream(bytes)));
                return true;
            }

            @Override
            public void damaged(long start, long end) {
                LOG.log(Level.ERROR, "{0} is damaged from byte {1} to {2}: this replica will join with a new identity"
                        + " because its former votes are unknown", from, Long.toString(start), Long.toString(end));
                undamaged[0] = false;
            }
        });
        replaying = false;
        return undamaged[0];
    }

    private void apply(int type, DataInputStream in) throws IOException {
        switch (type) {
            case ENDPOINT -> contents.persistAndFlushLocalEndpoint(models.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(codec.readReplica(in)).setVoting(in.readBoolean()).build());
            case MEMBERS -> contents.persistAndFlushInitialGroupMembers(codec.readView(in));
            case TERM ->
                contents.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(in.readInt())
                        .setVotedFor(in.readBoolean() ? codec.readReplica(in) : null).build());
            case ENTRY -> contents.persistLogEntries(List.of(codec.readEntry(in)));
            case CHUNK -> contents.persistSnapshotChunk(codec.readChunk(in));
            case TRUNCATE_FROM -> contents.truncateLogEntriesFrom(in.readLong());
            case TRUNCATE_UNTIL -> contents.truncateLogEntriesUntil(in.readLong());
            case DELETE_CHUNKS -> contents.deleteSnapshotChunks(in.readLong(), 0);
            default ->
                throw new IOException(file + ": unknown frame type " + type + ", possibly written by a later version");
        }
    }

    /** Writes a new file and, once it is durable, replaces the old one with it. */
    private void replaceFile(boolean withState) throws IOException {
        Path newFile = file.resolveSibling(FILE_NAME + ".fresh");
        closeQuietly();
        try {
            volume.delete(newFile);
            writer = new SegmentWriter(volume, newFile, magic);
            if (withState) {
                contents.copyTo(this);
            }
            writer.force();
            volume.rename(newFile, file);
        } catch (IOException | UncheckedIOException failure) {
            closeQuietly();
            throw failure;
        }
    }

    /** Closes a file that is no longer used; a failure has no effect. */
    private void closeQuietly() {
        try {
            if (writer != null) {
                writer.close();
            }
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "cannot close an unused file", failure);
        }
    }

    private void add(int type, Payload payload) {
        if (replaying) {
            return;
        }
        checkNotFailed();
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
            DataOutputStream out = new DataOutputStream(bytes);
            payload.writeTo(out);
            writer.add(type, ByteBuffer.wrap(bytes.toByteArray()));
        } catch (IOException failure) {
            throw markFailed(failure);
        }
    }

    @Override
    public RestoredRaftState restored() {
        return contents.restored();
    }

    @Override
    public void clear() {
        contents.clear();
        try {
            replaceFile(false);
            failed = false;
        } catch (IOException failure) {
            throw markFailed(failure);
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        contents.persistAndFlushLocalEndpoint(state);
        add(ENDPOINT, out -> {
            codec.writeReplica(state.getLocalEndpoint(), out);
            out.writeBoolean(state.isVoting());
        });
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        contents.persistAndFlushInitialGroupMembers(initial);
        add(MEMBERS, out -> codec.writeView(initial, out));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        contents.persistAndFlushTerm(state);
        add(TERM, out -> {
            out.writeInt(state.getTerm());
            out.writeBoolean(state.getVotedFor() != null);
            if (state.getVotedFor() != null) {
                codec.writeReplica(state.getVotedFor(), out);
            }
        });
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        contents.persistLogEntries(entries);
        entries.forEach(entry -> add(ENTRY, out -> codec.writeEntry(entry, out)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        contents.persistSnapshotChunk(chunk);
        add(CHUNK, out -> codec.writeChunk(chunk, out));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        contents.truncateLogEntriesFrom(index);
        add(TRUNCATE_FROM, out -> out.writeLong(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        contents.truncateLogEntriesUntil(index);
        add(TRUNCATE_UNTIL, out -> out.writeLong(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        contents.deleteSnapshotChunks(index, count);
        add(DELETE_CHUNKS, out -> out.writeLong(index));
    }

    @Override
    public void flush() {
        checkNotFailed();
        try {
            writer.force();
        } catch (IOException failure) {
            throw markFailed(failure);
        }
    }

    @Override
    public boolean failed() {
        return failed;
    }

    @Override
    public boolean recover() {
        if (!failed) {
            return true;
        }
        failed = false; // the new file is written by the same methods, which throw after a failure
        try {
            replaceFile(true);
            return true;
        } catch (IOException | UncheckedIOException failure) {
            failed = true;
            LOG.log(Level.DEBUG, "{0} cannot be rewritten yet: {1}", file, failure.toString());
            return false;
        }
    }

    /** Throws if a write or sync has failed: a later sync may succeed without the pages that were dropped. */
    private void checkNotFailed() {
        if (failed) {
            throw new UncheckedIOException(new IOException(file + " accepts no writes after a failure"));
        }
    }

    /** Marks the storage as failed; the returned exception prevents the replica from acknowledging. */
    private UncheckedIOException markFailed(IOException failure) {
        failed = true;
        return new UncheckedIOException(failure);
    }

    /** Closes the file; further writes are not allowed. */
    public void close() throws IOException {
        writer.close();
    }
}
