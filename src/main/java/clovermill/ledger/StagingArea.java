package clovermill.ledger;

import clovermill.ledger.decide.Entry;
import clovermill.storage.FrameCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The queue of entries for the writer: pages of encoded frames, which the event loop fills one after another. The
 * pages are in one mapped file in memory (tmpfs), so that they survive a kill of the process and the next start
 * recovers them. They are never written back to a disk, so filling them does not wait for one. The event loop owns
 * the current page, the writer a page from {@link #poll} until {@link #release}.
 */
final class StagingArea {

    private static final String MAGIC = "CLVSTAG1";
    /** Magic, folder ID and epoch. */
    private static final int HEADER_BYTES = 32;
    private static final int PAGE_COUNT = 16;
    private static final int PIECE_BYTES = 1 << 16;
    /** A page must fit the longest entry. */
    private static final int MIN_PAGE_BYTES = 1024;

    /** A page of frames, valid up to {@code fill}. */
    static final class Page {
        final ByteBuffer bytes;
        int fill;

        private Page(ByteBuffer bytes) {
            this.bytes = bytes;
        }
    }

    /** The leftover of a killed process: frames of one epoch by their sequence number. */
    record Leftover(UUID folder, long epoch, TreeMap<Long, ByteBuffer> frames) {}

    private final LogFormat format = new LogFormat();
    private final FrameCodec codec = new FrameCodec();
    private final ArrayBlockingQueue<Page> full = new ArrayBlockingQueue<>(PAGE_COUNT);
    private final ArrayBlockingQueue<Page> free = new ArrayBlockingQueue<>(PAGE_COUNT);
    private final Path file;
    private Page current;

    /** Creates {@code file} anew for an epoch, with {@code bytes} of pages; uses the heap if the file is null. */
    StagingArea(Path file, UUID folder, long epoch, int bytes) throws IOException {
        this.file = file;
        int pageBytes = Math.max(MIN_PAGE_BYTES, bytes / PAGE_COUNT);
        ByteBuffer memory = file == null ? ByteBuffer.allocate(HEADER_BYTES + PAGE_COUNT * pageBytes)
                : map(file, HEADER_BYTES + PAGE_COUNT * pageBytes);
        memory.order(FrameCodec.ORDER).putLong(8, folder.getMostSignificantBits())
                .putLong(16, folder.getLeastSignificantBits()).putLong(24, epoch);
        memory.put(0, MAGIC.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < PAGE_COUNT; i++) {
            free.add(new Page(memory.slice(HEADER_BYTES + i * pageBytes, pageBytes).order(FrameCodec.ORDER)));
        }
        current = free.poll();
    }

    private static ByteBuffer map(Path file, int bytes) throws IOException {
        Files.deleteIfExists(file);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            // Writes zeros instead of only setting the length: memory that is allocated now cannot be lacking later.
            // In pieces: the JVM copies each through direct memory, of which a director has little.
            ByteBuffer zeros = ByteBuffer.allocate(PIECE_BYTES);
            for (int left = bytes; left > 0;) {
                left -= channel.write(zeros.limit(Math.min(left, PIECE_BYTES)).position(0));
            }
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
    }

    /** Reads the leftover of a process that did not close its ledger; returns null if there is nothing to read. */
    static Leftover readLeftover(Path file) throws IOException {
        if (file == null || !Files.exists(file)) {
            return null;
        }
        ByteBuffer source = ByteBuffer.wrap(Files.readAllBytes(file)).order(FrameCodec.ORDER);
        if (source.capacity() <= HEADER_BYTES
                || !MAGIC.equals(new String(source.array(), 0, 8, StandardCharsets.US_ASCII))) {
            return null;
        }
        FrameCodec codec = new FrameCodec();
        TreeMap<Long, ByteBuffer> frames = new TreeMap<>();
        int pageBytes = (source.capacity() - HEADER_BYTES) / PAGE_COUNT;
        for (int page = 0; page < PAGE_COUNT; page++) {
            int offset = HEADER_BYTES + page * pageBytes;
            int end = offset + pageBytes;
            while (codec.isValid(source, offset, end)) {
                int size = FrameCodec.HEADER_BYTES + FrameCodec.length(source, offset);
                frames.put(source.getLong(offset + FrameCodec.HEADER_BYTES),
                        source.slice(offset, size).order(FrameCodec.ORDER));
                offset += size;
            }
        }
        return new Leftover(new UUID(source.getLong(8), source.getLong(16)), source.getLong(24), frames);
    }

    /** Adds an entry without waiting; returns false if all pages are full. */
    boolean offer(Entry entry) {
        ByteBuffer payload = format.write(entry);
        int size = FrameCodec.HEADER_BYTES + payload.remaining();
        if (current != null && current.fill + size > current.bytes.capacity()) {
            full.add(current);
            current = null;
        }
        if (current == null) {
            current = free.poll();
        }
        if (current == null) {
            return false;
        }
        current.fill = codec.encode(current.bytes, current.fill, LogFormat.type(entry), payload);
        return true;
    }

    /**
     * Hands the current page to the writer, unless it is empty or half of the pages are in use: then it is filled
     * first.
     */
    void handOver() {
        if (current != null && current.fill > 0 && free.size() > PAGE_COUNT / 2) {
            full.add(current);
            current = free.poll();
        }
    }

    /** Hands the current page to the writer in any case; afterwards there may be no current page for a while. */
    void handOverNow() {
        if (current != null && current.fill > 0) {
            full.add(current);
            current = null;
        }
    }

    /** Returns whether the current page is empty. */
    boolean isEmpty() {
        return current == null || current.fill == 0;
    }

    /** Returns the number of pages in use. */
    int usedPages() {
        return PAGE_COUNT - free.size();
    }

    /** Returns the number of pages. */
    static int pageCount() {
        return PAGE_COUNT;
    }

    /** Returns the next page that was handed over, or null after {@code waitNs}. Called by the writer. */
    Page poll(long waitNs) throws InterruptedException {
        return waitNs <= 0 ? full.poll() : full.poll(waitNs, TimeUnit.NANOSECONDS);
    }

    /** Returns whether the writer has taken all pages that were handed over. */
    boolean isDrained() {
        return full.isEmpty();
    }

    /** Releases a page whose entries are durable. Called by the writer. */
    void release(Page page) {
        page.fill = 0;
        free.add(page);
    }

    /** Deletes the file of a staging area whose entries are all durable. */
    void delete() throws IOException {
        if (file != null) {
            Files.deleteIfExists(file);
        }
    }
}
