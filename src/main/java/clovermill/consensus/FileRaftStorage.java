package clovermill.consensus;

import clovermill.store.SegmentReader;
import clovermill.store.SegmentWriter;
import clovermill.store.Volume;
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
 * A replica's promises in a file of checked frames, each on the disk before it is told. At a start the frames are read
 * and written anew into a fresh file, which then takes the place of the old; a torn tail was never told to anybody and
 * is cut. A file that is damaged in its middle, or is not there, is a lost disk: what was promised is not known.
 *
 * <p>After a write or a sync that failed the file takes no more, since a later sync may succeed without the pages that
 * the failed one has dropped. {@link #recover} writes all that was handed in to a new file.
 */
public final class FileRaftStorage implements RaftStorage {

    private static final System.Logger LOG = System.getLogger(FileRaftStorage.class.getName());
    private static final int ENDPOINT = 1;
    private static final int MEMBERS = 2;
    private static final int TERM = 3;
    private static final int ENTRY = 4;
    private static final int CHUNK = 5;
    private static final int CUT_FROM = 6;
    private static final int CUT_UNTIL = 7;
    private static final int NO_CHUNKS = 8;

    /** Writes what a frame holds. */
    private interface Content {
        void to(DataOutputStream out) throws IOException;
    }

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftMessageCodec codec;
    private final MemoryRaftStorage kept = new MemoryRaftStorage();
    private final Volume volume;
    private final String magic;
    private final Path file;
    private SegmentWriter writer;
    private boolean replaying;
    private boolean failed;

    /**
     * In a folder that lasts and is this process's alone; makes it if need be.
     *
     * @param magic eight letters at the head of the file, which name the subsystem and the format's version
     * @throws IOException if the file cannot be read or written, or is of another format
     */
    public FileRaftStorage(Volume volume, Path folder, String magic, RaftMessageCodec codec) throws IOException {
        this.codec = codec;
        this.magic = magic;
        this.volume = volume;
        this.file = Files.createDirectories(folder).resolve("votes");
        boolean whole = Files.exists(file) && replay(file);
        if (!whole) {
            kept.clear();
        }
        begin(whole);
    }

    private boolean replay(Path from) throws IOException {
        boolean[] whole = {true};
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
                LOG.log(Level.ERROR, "{0} is damaged from byte {1} to {2}: this replica is taken in anew, as it does"
                        + " not know what it promised", from, Long.toString(start), Long.toString(end));
                whole[0] = false;
            }
        });
        replaying = false;
        return whole[0];
    }

    private void apply(int type, DataInputStream in) throws IOException {
        switch (type) {
            case ENDPOINT -> kept.persistAndFlushLocalEndpoint(models.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(codec.replica(in)).setVoting(in.readBoolean()).build());
            case MEMBERS -> kept.persistAndFlushInitialGroupMembers(codec.view(in));
            case TERM -> kept.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(in.readInt())
                    .setVotedFor(in.readBoolean() ? codec.replica(in) : null).build());
            case ENTRY -> kept.persistLogEntries(List.of(codec.entry(in)));
            case CHUNK -> kept.persistSnapshotChunk(codec.chunk(in));
            case CUT_FROM -> kept.truncateLogEntriesFrom(in.readLong());
            case CUT_UNTIL -> kept.truncateLogEntriesUntil(in.readLong());
            case NO_CHUNKS -> kept.deleteSnapshotChunks(in.readLong(), 0);
            default -> throw new IOException("an unknown frame: the file is of a later version");
        }
    }

    /** A fresh file with what is kept; the old one is there until the new one is whole. */
    private void begin(boolean withAll) throws IOException {
        Path fresh = file.resolveSibling("votes.fresh");
        closeQuietly();
        try {
            volume.delete(fresh);
            writer = new SegmentWriter(volume, fresh, magic);
            if (withAll) {
                kept.tellAll(this);
            }
            writer.force();
            volume.rename(fresh, file);
        } catch (IOException | UncheckedIOException failure) {
            closeQuietly();
            throw failure;
        }
    }

    /** Of a file that is left behind nothing is expected any more. */
    private void closeQuietly() {
        try {
            if (writer != null) {
                writer.close();
            }
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "closing a file that is left behind failed", failure);
        }
    }

    private void add(int type, Content content) {
        if (replaying) {
            return;
        }
        refuseAfterFailure();
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
            DataOutputStream out = new DataOutputStream(bytes);
            content.to(out);
            writer.add(type, ByteBuffer.wrap(bytes.toByteArray()));
        } catch (IOException failure) {
            throw failed(failure);
        }
    }

    @Override
    public RestoredRaftState restored() {
        return kept.restored();
    }

    @Override
    public void clear() {
        kept.clear();
        try {
            begin(false);
            failed = false;
        } catch (IOException failure) {
            throw failed(failure);
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        kept.persistAndFlushLocalEndpoint(state);
        add(ENDPOINT, out -> {
            codec.replica(state.getLocalEndpoint(), out);
            out.writeBoolean(state.isVoting());
        });
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        kept.persistAndFlushInitialGroupMembers(initial);
        add(MEMBERS, out -> codec.view(initial, out));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        kept.persistAndFlushTerm(state);
        add(TERM, out -> {
            out.writeInt(state.getTerm());
            out.writeBoolean(state.getVotedFor() != null);
            if (state.getVotedFor() != null) {
                codec.replica(state.getVotedFor(), out);
            }
        });
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        kept.persistLogEntries(entries);
        entries.forEach(entry -> add(ENTRY, out -> codec.entry(entry, out)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        kept.persistSnapshotChunk(chunk);
        add(CHUNK, out -> codec.chunk(chunk, out));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        kept.truncateLogEntriesFrom(index);
        add(CUT_FROM, out -> out.writeLong(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        kept.truncateLogEntriesUntil(index);
        add(CUT_UNTIL, out -> out.writeLong(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        kept.deleteSnapshotChunks(index, count);
        add(NO_CHUNKS, out -> out.writeLong(index));
    }

    @Override
    public void flush() {
        refuseAfterFailure();
        try {
            writer.force();
        } catch (IOException failure) {
            throw failed(failure);
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
        failed = false; // the new file is written by the same methods
        try {
            begin(true);
            return true;
        } catch (IOException | UncheckedIOException still) {
            failed = true;
            LOG.log(Level.DEBUG, "{0} cannot be written anew yet: {1}", file, still.toString());
            return false;
        }
    }

    /** A sync after one that failed may succeed without what that one has lost. */
    private void refuseAfterFailure() {
        if (failed) {
            throw new UncheckedIOException(new IOException(file + " takes nothing more after a failure"));
        }
    }

    /** Who cannot keep a promise must not make it. */
    private UncheckedIOException failed(IOException failure) {
        failed = true;
        return new UncheckedIOException(failure);
    }

    /** Closes the file; nothing may be written after. */
    public void close() throws IOException {
        writer.close();
    }
}
