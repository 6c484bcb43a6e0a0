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
 * Where entries wait for the writer: pages of encoded frames, which the loop fills one after another. The pages lie
 * in one mapped file in memory (tmpfs), so that a process that is killed leaves them behind and the next start
 * takes them over. Nothing is written back to a disk from there, so filling them waits for none. The loop owns the
 * present page, the writer a page from {@link #take} until {@link #giveBack}.
 */
final class StagingArea {

    private static final String MAGIC = "CLVSTAG1";
    /** Magic, the ledger's folder, epoch. */
    private static final int HEAD_BYTES = 32;
    private static final int PAGES = 16;
    private static final int PIECE = 1 << 16;
    /** A page holds the longest entry. */
    private static final int SMALLEST_PAGE = 1024;

    /** One page of frames, good up to {@code fill}. */
    static final class Page {
        final ByteBuffer bytes;
        int fill;

        private Page(ByteBuffer bytes) {
            this.bytes = bytes;
        }
    }

    /** What a killed process left: frames by their sequence, of one epoch. */
    record Left(UUID folder, long epoch, TreeMap<Long, ByteBuffer> frames) {}

    private final LogFormat format = new LogFormat();
    private final FrameCodec codec = new FrameCodec();
    private final ArrayBlockingQueue<Page> full = new ArrayBlockingQueue<>(PAGES);
    private final ArrayBlockingQueue<Page> free = new ArrayBlockingQueue<>(PAGES);
    private final Path file;
    private Page present;

    /** Makes {@code file} anew for an epoch, with so many bytes of pages; on the heap where it is null. */
    StagingArea(Path file, UUID folder, long epoch, int bytes) throws IOException {
        this.file = file;
        int pageBytes = Math.max(SMALLEST_PAGE, bytes / PAGES);
        ByteBuffer memory = file == null ? ByteBuffer.allocate(HEAD_BYTES + PAGES * pageBytes)
                : map(file, HEAD_BYTES + PAGES * pageBytes);
        memory.order(FrameCodec.ORDER).putLong(8, folder.getMostSignificantBits())
                .putLong(16, folder.getLeastSignificantBits()).putLong(24, epoch);
        memory.put(0, MAGIC.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < PAGES; i++) {
            free.add(new Page(memory.slice(HEAD_BYTES + i * pageBytes, pageBytes).order(FrameCodec.ORDER)));
        }
        present = free.poll();
    }

    private static ByteBuffer map(Path file, int bytes) throws IOException {
        Files.deleteIfExists(file);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            // Written, not only made long: memory that is there cannot fail to be there later.
            // In pieces: the JVM copies each by way of direct memory, of which a director has little.
            ByteBuffer zeros = ByteBuffer.allocate(PIECE);
            for (int left = bytes; left > 0;) {
                left -= channel.write(zeros.limit(Math.min(left, PIECE)).position(0));
            }
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
    }

    /** Reads what a process that did not end in order left in a file; null if there is nothing to be read. */
    static Left left(Path file) throws IOException {
        if (file == null || !Files.exists(file)) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file)).order(FrameCodec.ORDER);
        if (in.capacity() <= HEAD_BYTES
                || !MAGIC.equals(new String(in.array(), 0, 8, StandardCharsets.US_ASCII))) {
            return null;
        }
        FrameCodec codec = new FrameCodec();
        TreeMap<Long, ByteBuffer> frames = new TreeMap<>();
        int pageBytes = (in.capacity() - HEAD_BYTES) / PAGES;
        for (int page = 0; page < PAGES; page++) {
            int at = HEAD_BYTES + page * pageBytes;
            int end = at + pageBytes;
            while (codec.isValid(in, at, end)) {
                int size = FrameCodec.HEADER_BYTES + FrameCodec.length(in, at);
                frames.put(in.getLong(at + FrameCodec.HEADER_BYTES), in.slice(at, size).order(FrameCodec.ORDER));
                at += size;
            }
        }
        return new Left(new UUID(in.getLong(8), in.getLong(16)), in.getLong(24), frames);
    }

    /** Adds an entry, never waiting; false if all pages are full. */
    boolean offer(Entry entry) {
        ByteBuffer payload = format.write(entry);
        int size = FrameCodec.HEADER_BYTES + payload.remaining();
        if (present != null && present.fill + size > present.bytes.capacity()) {
            full.add(present);
            present = null;
        }
        if (present == null) {
            present = free.poll();
        }
        if (present == null) {
            return false;
        }
        present.fill = codec.encode(present.bytes, present.fill, LogFormat.type(entry), payload);
        return true;
    }

    /** Hands the present page over, unless it is empty or the pages run short: then it is filled first. */
    void handOver() {
        if (present != null && present.fill > 0 && free.size() > PAGES / 2) {
            full.add(present);
            present = free.poll();
        }
    }

    /** Hands the present page over in any case; there may be no other one for a while. */
    void handOverLast() {
        if (present != null && present.fill > 0) {
            full.add(present);
            present = null;
        }
    }

    /** Whether anything stands in the present page. */
    boolean isEmpty() {
        return present == null || present.fill == 0;
    }

    /** Pages that are not free. */
    int used() {
        return PAGES - free.size();
    }

    /** All pages there are. */
    static int pages() {
        return PAGES;
    }

    /** For the writer: the next page that was handed over, or null after so long. */
    Page take(long waitNs) throws InterruptedException {
        return waitNs <= 0 ? full.poll() : full.poll(waitNs, TimeUnit.NANOSECONDS);
    }

    /** Whether no page waits for the writer. */
    boolean isTaken() {
        return full.isEmpty();
    }

    /** For the writer: a page whose entries are where they belong. */
    void giveBack(Page page) {
        page.fill = 0;
        free.add(page);
    }

    /** Leaves nothing behind; for a stage whose entries all are where they belong. */
    void remove() throws IOException {
        if (file != null) {
            Files.deleteIfExists(file);
        }
    }
}
