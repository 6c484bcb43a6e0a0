package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * However many bytes the socket accepts per call, each byte is written once and in order, and the callback of each
 * piece runs once, after its last byte.
 */
class WriteQueueTest {

    @Property
    void shortWritesNeitherLoseNorRepeatBytes(@ForAll @Size(max = 12) List<@IntRange(max = 40) Integer> sizes,
            @ForAll @Size(min = 1, max = 20) List<@IntRange(max = 16) Integer> taken) {
        WriteQueue queue = new WriteQueue();
        List<Integer> done = new ArrayList<>();
        List<Integer> expectedDone = new ArrayList<>();
        int total = 0;
        for (int i = 0; i < sizes.size(); i++) {
            ByteBuffer piece = ByteBuffer.allocate(sizes.get(i));
            for (int j = 0; j < sizes.get(i); j++) {
                piece.put((byte) total++);
            }
            int number = i;
            queue.add(piece.flip(), () -> done.add(number));
            expectedDone.add(i);
        }
        ByteBuffer wire = ByteBuffer.allocate(total);
        int calls = 0;
        while (!queue.isEmpty() && calls < 10_000) {
            ByteBuffer buffer = ByteBuffer.allocate(16);
            queue.copyTo(buffer);
            int count = Math.min(buffer.flip().remaining(), calls % 3 == 2 ? 1 : taken.get(calls % taken.size()));
            wire.put(buffer.limit(count));
            queue.written(count);
            calls++;
            assertThat(queue.writtenBytes()).isEqualTo(wire.position());
            assertThat(queue.queuedBytes()).isEqualTo(total - wire.position());
        }
        for (int i = 0; i < total; i++) {
            assertThat(wire.get(i)).isEqualTo((byte) i);
        }
        assertThat(queue.isEmpty()).isTrue();
        assertThat(done).isEqualTo(expectedDone);
    }

    /** Pieces of 4 bytes; those from {@code first} on are removed unless a byte of it has been written. */
    @Property
    void onlyUntouchedPiecesAreRetracted(@ForAll @IntRange(max = 20) int written,
            @ForAll @IntRange(max = 4) int first) {
        WriteQueue queue = new WriteQueue();
        List<ByteBuffer> pieces = new ArrayList<>();
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            pieces.add(ByteBuffer.allocate(4));
            queue.add(pieces.get(i), () -> done.add(number));
        }
        queue.written(written);
        boolean untouched = written <= 4 * first;
        assertThat(queue.retractFrom(pieces.get(first))).isEqualTo(untouched);
        assertThat(queue.queuedBytes()).isEqualTo((untouched ? 4 * first : 20) - written);
        assertThat(queue.isEmpty()).isEqualTo(queue.queuedBytes() == 0);
        assertThat(done).hasSize(written / 4);
    }
}
