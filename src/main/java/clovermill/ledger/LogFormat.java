package clovermill.ledger;

import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.ContentSource;
import clovermill.ledger.decide.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;

/**
 * The binary format of headers and entries, little-endian; docs/design/ledger.md has the table. {@link #read} skips
 * unknown types: a later version with the same magic may add some.
 */
final class LogFormat {

    /** Identifies the format and its version; a later format has another magic and is rejected. */
    static final String MAGIC = "CLVLEDG1";

    static final int HEADER = 1;
    static final int USED = 2;
    static final int GAP = 3;
    static final int CLOSE = 4;
    static final int CLOCK = 5;

    /** The maximum length of the name of a tenant, an instance or a class, in bytes. */
    static final int MAX_NAME_BYTES = 200;

    private static final UsageRecord.End[] ENDS = UsageRecord.End.values();
    private static final ContentSource[] CONTENT_SOURCES = ContentSource.values();

    private final ByteBuffer buffer = ByteBuffer.allocate(clovermill.storage.SegmentWriter.maxPayloadBytes())
            .order(ByteOrder.LITTLE_ENDIAN);
    private byte[] lastTenantBytes = {};
    private String lastTenant = "";

    /** Encodes a header; the result is valid until the next call. */
    ByteBuffer write(LogHeader header) {
        buffer.clear();
        buffer.putLong(header.folder().getMostSignificantBits()).putLong(header.folder().getLeastSignificantBits());
        buffer.putLong(header.epoch()).putInt(header.number());
        buffer.putLong(header.firstSeq()).putLong(header.openedMs());
        buffer.putLong(header.throughMs()).putLong(header.closings()).putLong(header.periodMs());
        writeName(header.instance());
        buffer.put((byte) header.classes().size());
        header.classes().forEach(this::writeName);
        return buffer.flip();
    }

    /** Returns the frame type of an entry. */
    static int type(Entry entry) {
        return entry instanceof Entry.Used ? USED : entry instanceof Entry.Gap ? GAP
                : entry instanceof Entry.Close ? CLOSE : CLOCK;
    }

    /** Returns the latest time in the entry whose payload starts at an offset; 0 if it has none. */
    static long latestMs(int type, ByteBuffer source, int offset) {
        return switch (type) {
            case USED -> source.getLong(offset + 8);
            case GAP -> source.getLong(offset + 16);
            case CLOSE -> source.getLong(offset + 24);
            default -> 0;
        };
    }

    /** Returns the time through which the closing whose payload starts at an offset closes periods. */
    static long throughMs(ByteBuffer source, int offset) {
        return source.getLong(offset + 8);
    }

    /** Returns the number of the closing whose payload starts at an offset. */
    static long number(ByteBuffer source, int offset) {
        return source.getLong(offset + 16);
    }

    /** Encodes an entry; the result is valid until the next call. */
    ByteBuffer write(Entry entry) {
        buffer.clear();
        buffer.putLong(entry.seq());
        if (entry instanceof Entry.Used used) {
            buffer.putLong(used.takenMs()).putLong(used.wallMs()).putLong(used.monoUs());
            buffer.putLong(used.request()).putLong(used.tryKey());
            buffer.putInt(used.written()).putInt(used.fromParent()).putInt(used.fromOrigin());
            buffer.put((byte) used.requestClass()).put((byte) used.end().ordinal()).put((byte) used.how().ordinal());
            buffer.put((byte) Math.min(255, used.attempts())).put((byte) (used.repeat() ? 1 : 0));
            writeName(used.tenant());
        } else if (entry instanceof Entry.Gap gap) {
            buffer.putLong(gap.firstMs()).putLong(gap.lastMs()).putLong(gap.count()).putLong(gap.written());
            buffer.putLong(gap.fromParent()).putLong(gap.fromOrigin());
            writeName(gap.tenant());
        } else if (entry instanceof Entry.Close close) {
            buffer.putLong(close.throughMs()).putLong(close.number()).putLong(close.atMs());
        } else if (entry instanceof Entry.ClockStep step) {
            buffer.putLong(step.wallMs()).putLong(step.lineMs()).putLong(step.stepMs());
            buffer.put((byte) (step.taken() ? 1 : 0));
        }
        return buffer.flip();
    }

    private void writeName(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException("name too long: " + bytes.length + " bytes");
        }
        buffer.put((byte) bytes.length).put(bytes);
    }

    /** Decodes a header. */
    static LogHeader readHeader(ByteBuffer from) throws IOException {
        try {
            UUID folder = new UUID(from.getLong(), from.getLong());
            long epoch = from.getLong();
            int number = from.getInt();
            long firstSeq = from.getLong();
            long openedMs = from.getLong();
            long throughMs = from.getLong();
            long closings = from.getLong();
            long periodMs = from.getLong();
            String instance = readName(from);
            List<String> classes = new ArrayList<>();
            for (int i = from.get() & 255; i > 0; i--) {
                classes.add(readName(from));
            }
            return new LogHeader(folder, instance, epoch, number, firstSeq, openedMs, throughMs, closings, periodMs,
                    classes);
        } catch (RuntimeException malformed) {
            throw new IOException("header with a correct checksum cannot be decoded: " + malformed);
        }
    }

    /** Decodes an entry; returns null for an unknown type. */
    Entry read(int type, ByteBuffer from) throws IOException {
        try {
            return switch (type) {
                case USED -> {
                    long seq = from.getLong();
                    long takenMs = from.getLong();
                    long wallMs = from.getLong();
                    long monoUs = from.getLong();
                    long request = from.getLong();
                    long tryKey = from.getLong();
                    int written = from.getInt();
                    int fromParent = from.getInt();
                    int fromOrigin = from.getInt();
                    int requestClass = from.get() & 255;
                    UsageRecord.End end = ENDS[from.get()];
                    ContentSource how = CONTENT_SOURCES[from.get()];
                    int attempts = from.get() & 255;
                    boolean repeat = from.get() != 0;
                    yield new Entry.Used(seq, takenMs, wallMs, monoUs, request, tryKey, readTenant(from), requestClass,
                            end, how, attempts, repeat, written, fromParent, fromOrigin);
                }
                case GAP -> {
                    long seq = from.getLong();
                    long firstMs = from.getLong();
                    long lastMs = from.getLong();
                    long count = from.getLong();
                    long written = from.getLong();
                    long fromParent = from.getLong();
                    long fromOrigin = from.getLong();
                    yield new Entry.Gap(seq, firstMs, lastMs, readTenant(from), count, written, fromParent, fromOrigin);
                }
                case CLOSE -> new Entry.Close(from.getLong(), from.getLong(), from.getLong(), from.getLong());
                case CLOCK -> new Entry.ClockStep(from.getLong(), from.getLong(), from.getLong(), from.getLong(),
                        from.get() != 0);
                default -> null;
            };
        } catch (RuntimeException malformed) {
            throw new IOException("entry with a correct checksum cannot be decoded: " + malformed);
        }
    }

    /** Decodes the name of a tenant; returns the previous string object while the name does not change. */
    private String readTenant(ByteBuffer from) {
        int length = from.get() & 255;
        int offset = from.arrayOffset() + from.position();
        byte[] array = from.array();
        if (!Arrays.equals(lastTenantBytes, 0, lastTenantBytes.length, array, offset, offset + length)) {
            lastTenantBytes = Arrays.copyOfRange(array, offset, offset + length);
            lastTenant = new String(lastTenantBytes, StandardCharsets.UTF_8);
        }
        from.position(from.position() + length);
        return lastTenant;
    }

    private static String readName(ByteBuffer from) {
        byte[] bytes = new byte[from.get() & 255];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
