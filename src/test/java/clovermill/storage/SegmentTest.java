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

/** Segments: what was written is read, and what was damaged costs little and is named. */
class SegmentTest {

    private static final String MAGIC = "TESTSEG1";

    private record Read(List<byte[]> frames, List<long[]> damage, SegmentReader.End end) {}

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
        SegmentReader.End end = new SegmentReader().read(file, MAGIC, from, new SegmentReader.Visitor() {
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

    private interface Body {
        void run(Path file) throws IOException;
    }

    private static void inFolder(Body body) throws IOException {
        Path folder = Files.createTempDirectory("segment");
        Path file = folder.resolve("a.seg");
        try {
            body.run(file);
        } finally {
            Files.deleteIfExists(file);
            Files.delete(folder);
        }
    }

    @Property(tries = 12, seed = "1")
    void whatIsWrittenIsReadFromAnyFrameOn(@ForAll @IntRange(min = 1, max = 9000) int count, @ForAll long seed)
            throws IOException {
        inFolder(file -> {
            List<byte[]> frames = write(file, count, seed);
            Read all = read(file, 0);
            assertThat(all.frames).hasSize(count).usingElementComparator(Arrays::compare)
                    .containsExactlyElementsOf(frames);
            assertThat(all.damage).isEmpty();
            assertThat(all.end.torn()).isZero();
            assertThat(read(file, all.end.good()).frames).isEmpty();
        });
    }

    /** Guards against a flipped bit: it costs the frame it hits, or at worst the rest of a block, and is named. */
    @Property(tries = 25, seed = "1")
    void aFlippedBitCostsAtMostABlock(@ForAll long seed) throws IOException {
        inFolder(file -> {
            List<byte[]> frames = write(file, 4000, seed);
            byte[] bytes = Files.readAllBytes(file);
            Random random = new Random(seed);
            int at = Frames.MAGIC + random.nextInt(bytes.length - Frames.MAGIC);
            bytes[at] ^= (byte) (1 << random.nextInt(8));
            Files.write(file, bytes);
            Read read = read(file, 0);
            long lost = frames.stream().mapToLong(f -> f.length + Frames.HEAD).sum()
                    - read.frames.stream().mapToLong(f -> f.length + Frames.HEAD).sum();
            assertThat(lost).isBetween(0L, (long) Frames.BLOCK);
            assertThat(frames).usingElementComparator(Arrays::compare).containsAll(read.frames);
            if (lost > 0 && read.end.torn() == 0) {
                assertThat(read.damage).hasSize(1);
                assertThat(read.damage.get(0)[0]).isLessThanOrEqualTo(at);
                assertThat(read.damage.get(0)[1]).isGreaterThan(at);
            }
        });
    }

    /** Guards against a tail that a crash cut at any byte: all whole frames before it are read, nothing else. */
    @Property(tries = 25, seed = "1")
    void aTornTailCostsWhatIsNotWhole(@ForAll long seed) throws IOException {
        inFolder(file -> {
            List<byte[]> frames = write(file, 700, seed);
            byte[] bytes = Files.readAllBytes(file);
            int cut = new Random(seed).nextInt(bytes.length);
            Files.write(file, Arrays.copyOf(bytes, cut));
            Read read = read(file, 0);
            assertThat(read.damage).isEmpty();
            assertThat(read.frames).usingElementComparator(Arrays::compare)
                    .containsExactlyElementsOf(frames.subList(0, read.frames.size()));
            assertThat(read.end.torn()).isLessThan(2 * Frames.BLOCK);
        });
    }

    @Test
    void aLaterFormIsRefusedByName() throws IOException {
        inFolder(file -> {
            Files.writeString(file, "TESTSEG2 and more");
            assertThatThrownBy(() -> read(file, 0)).isInstanceOf(SegmentReader.Foreign.class)
                    .hasMessageContaining("TESTSEG2");
        });
    }

    @Test
    void aSecondHolderOfALockIsToldWho() throws IOException {
        inFolder(file -> {
            try (FolderLock first = FolderLock.take(file)) {
                assertThat(first).isNotNull();
                assertThatThrownBy(() -> FolderLock.take(file)).isInstanceOf(FolderLock.Held.class)
                        .hasMessageContaining("process " + ProcessHandle.current().pid());
            }
            FolderLock.take(file).close();
        });
    }
}
