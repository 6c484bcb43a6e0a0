package clovermill.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Writing and reading of segments, also of damaged and truncated ones. */
class SegmentTest {

    private static final String MAGIC = "TESTSEG1";

    private record Read(List<byte[]> frames, List<long[]> damage, SegmentReader.ReadResult end) {}

    private static byte[] frame(Random random, int i) {
        byte[] bytes = new byte[1 + random.nextInt(i % 50 == 0 ? 20_000 : 120)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static List<byte[]> write(Path file, int count, long seed) throws IOException {
        Random random = new Random(seed);
        List<byte[]> frames = new ArrayList<>();
        try (SegmentWriter writer = new SegmentWriter(Volume.local(), file, MAGIC)) {
            for (int i = 0; i < count; i++) {
                frames.add(frame(random, i));
                writer.add(7, ByteBuffer.wrap(frames.get(i)));
            }
            writer.force();
        }
        return frames;
    }

    private static Read read(Path file, long from) throws IOException {
        List<byte[]> frames = new ArrayList<>();
        List<long[]> damage = new ArrayList<>();
        SegmentReader.ReadResult end = new SegmentReader().read(file, MAGIC, from, new SegmentReader.Visitor() {
            @Override
            public boolean frame(int type, ByteBuffer payload) {
                byte[] bytes = new byte[payload.remaining()];
                payload.get(bytes);
                frames.add(bytes);
                return true;
            }

            @Override
            public void damaged(long start, long stop) {
                damage.add(new long[] {start, stop});
            }
        });
        return new Read(frames, damage, end);
    }

    private interface FileTest {
        void run(Path file) throws IOException;
    }

    private static void withTemporaryFile(FileTest test) throws IOException {
        Path folder = Files.createTempDirectory("segment");
        Path file = folder.resolve("a.seg");
        try {
            test.run(file);
        } finally {
            Files.deleteIfExists(file);
            Files.delete(folder);
        }
    }

    @Property(tries = 12, seed = "1")
    void readsWrittenFramesAndContinuesAtEnd(@ForAll @IntRange(min = 1, max = 9000) int count, @ForAll long seed)
            throws IOException {
        withTemporaryFile(file -> {
            List<byte[]> frames = write(file, count, seed);
            Read all = read(file, 0);
            assertThat(all.frames).hasSize(count).usingElementComparator(Arrays::compare)
                    .containsExactlyElementsOf(frames);
            assertThat(all.damage).isEmpty();
            assertThat(all.end.tornBytes()).isZero();
            assertThat(read(file, all.end.validEnd()).frames).isEmpty();
        });
    }

    /** A flipped bit loses the frame it hits, or at worst the rest of a block, and is reported as damage. */
    @Property(tries = 25, seed = "1")
    void flippedBitLosesAtMostOneBlock(@ForAll long seed) throws IOException {
        withTemporaryFile(file -> {
            List<byte[]> frames = write(file, 4000, seed);
            byte[] bytes = Files.readAllBytes(file);
            Random random = new Random(seed);
            int at = SegmentLayout.MAGIC_BYTES + random.nextInt(bytes.length - SegmentLayout.MAGIC_BYTES);
            bytes[at] ^= (byte) (1 << random.nextInt(8));
            Files.write(file, bytes);
            Read read = read(file, 0);
            long lost = frames.stream().mapToLong(f -> f.length + SegmentLayout.HEADER_BYTES).sum()
                    - read.frames.stream().mapToLong(f -> f.length + SegmentLayout.HEADER_BYTES).sum();
            assertThat(lost).isBetween(0L, (long) SegmentLayout.BLOCK_BYTES);
            assertThat(frames).usingElementComparator(Arrays::compare).containsAll(read.frames);
            if (lost > 0 && read.end.tornBytes() == 0) {
                assertThat(read.damage).hasSize(1);
                assertThat(read.damage.get(0)[0]).isLessThanOrEqualTo(at);
                assertThat(read.damage.get(0)[1]).isGreaterThan(at);
            }
        });
    }

    /** A file that a crash truncated at any byte yields all complete frames before that byte and nothing else. */
    @Property(tries = 25, seed = "1")
    void truncatedFileYieldsAllCompleteFrames(@ForAll long seed) throws IOException {
        withTemporaryFile(file -> {
            List<byte[]> frames = write(file, 700, seed);
            byte[] bytes = Files.readAllBytes(file);
            int cut = new Random(seed).nextInt(bytes.length);
            Files.write(file, Arrays.copyOf(bytes, cut));
            Read read = read(file, 0);
            assertThat(read.damage).isEmpty();
            assertThat(read.frames).usingElementComparator(Arrays::compare)
                    .containsExactlyElementsOf(frames.subList(0, read.frames.size()));
            assertThat(read.end.tornBytes()).isLessThan(2 * SegmentLayout.BLOCK_BYTES);
        });
    }

    @Test
    void rejectsLaterFormatVersion() throws IOException {
        withTemporaryFile(file -> {
            Files.writeString(file, "TESTSEG2 and more");
            assertThatThrownBy(() -> read(file, 0)).isInstanceOf(SegmentReader.UnknownFormatException.class)
                    .hasMessageContaining("TESTSEG2");
        });
    }

    @Test
    void reportsOwnerOfLockedFolder() throws IOException {
        withTemporaryFile(file -> {
            try (FolderLock first = FolderLock.acquire(file)) {
                assertThat(first).isNotNull();
                assertThatThrownBy(() -> FolderLock.acquire(file)).isInstanceOf(FolderLock.AlreadyLockedException.class)
                        .hasMessageContaining("process " + ProcessHandle.current().pid());
            }
            FolderLock.acquire(file).close();
        });
    }
}
