package clovermill.ledger;

import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.ContentSource;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;

/**
 * The bytes of header and entries, little-endian; docs/design/ledger.md has the table. A type that is not known
 * is passed over by {@link #read}: a later version of the same magic may add some.
 */
final class LogFormat {

    /** Names form and version; a later form has another one and is refused. */
    static final String MAGIC = "CLVLEDG1";

    static final int HEADER = 1;
    static final int USED = 2;
    static final int GAP = 3;
    static final int CLOSE = 4;
    static final int CLOCK = 5;

    /** The longest name of a tenant, an instance or a class, in bytes. */
    static final int LONGEST_NAME = 200;

    private static final UsageRecord.End[] ENDS = UsageRecord.End.values();
    private static final ContentSource[] HOWS = ContentSource.values();

    private final ByteBuffer scratch = ByteBuffer.allocate(clovermill.storage.SegmentWriter.maxPayloadBytes())
            .order(ByteOrder.LITTLE_ENDIAN);
    private byte[] lastName = {};
    private String lastTenant = "";

    /** The payload of a header; valid until the next call. */
    ByteBuffer write(LogHeader header) {
        scratch.clear();
        scratch.putLong(header.folder().getMostSignificantBits()).putLong(header.folder().getLeastSignificantBits());
        scratch.putLong(header.epoch()).putInt(header.number());
        scratch.putLong(header.firstSeq()).putLong(header.openedMs());
        scratch.putLong(header.throughMs()).putLong(header.closings()).putLong(header.periodMs());
        name(header.instance());
        scratch.put((byte) header.classes().size());
        header.classes().forEach(this::name);
        return scratch.flip();
    }

    /** The type of an entry's frame. */
    static int type(Entry entry) {
        return entry instanceof Entry.Used ? USED : entry instanceof Entry.Gap ? GAP
                : entry instanceof Entry.Close ? CLOSE : CLOCK;
    }

    /** No later time is told by an entry whose payload stands at a place; 0 where it tells of none. */
    static long latestMs(int type, ByteBuffer in, int at) {
        return switch (type) {
            case USED -> in.getLong(at + 8);
            case GAP -> in.getLong(at + 16);
            case CLOSE -> in.getLong(at + 24);
            default -> 0;
        };
    }

    /** Through when a closing whose payload stands at a place closes. */
    static long throughMs(ByteBuffer in, int at) {
        return in.getLong(at + 8);
    }

    /** The number of a closing whose payload stands at a place. */
    static long number(ByteBuffer in, int at) {
        return in.getLong(at + 16);
    }

    /** The payload of an entry; valid until the next call. */
    ByteBuffer write(Entry entry) {
        scratch.clear();
        scratch.putLong(entry.seq());
        if (entry instanceof Entry.Used used) {
            scratch.putLong(used.takenMs()).putLong(used.wallMs()).putLong(used.monoUs());
            scratch.putLong(used.request()).putLong(used.tryKey());
            scratch.putInt(used.written()).putInt(used.fromParent()).putInt(used.fromOrigin());
            scratch.put((byte) used.requestClass()).put((byte) used.end().ordinal()).put((byte) used.how().ordinal());
            scratch.put((byte) Math.min(255, used.attempts())).put((byte) (used.repeat() ? 1 : 0));
            name(used.tenant());
        } else if (entry instanceof Entry.Gap gap) {
            scratch.putLong(gap.firstMs()).putLong(gap.lastMs()).putLong(gap.count()).putLong(gap.written());
            scratch.putLong(gap.fromParent()).putLong(gap.fromOrigin());
            name(gap.tenant());
        } else if (entry instanceof Entry.Close close) {
            scratch.putLong(close.throughMs()).putLong(close.number()).putLong(close.atMs());
        } else if (entry instanceof Entry.ClockStep step) {
            scratch.putLong(step.wallMs()).putLong(step.lineMs()).putLong(step.stepMs());
            scratch.put((byte) (step.taken() ? 1 : 0));
        }
        return scratch.flip();
    }

    private void name(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > LONGEST_NAME) {
            throw new IllegalArgumentException("a name of " + bytes.length + " bytes");
        }
        scratch.put((byte) bytes.length).put(bytes);
    }

    /** Reads a header. */
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
        } catch (RuntimeException bad) {
            throw new IOException("a header that checks but cannot be read: " + bad);
        }
    }

    /** Reads an entry; null for a type that is not known. */
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
                    ContentSource how = HOWS[from.get()];
                    int attempts = from.get() & 255;
                    boolean repeat = from.get() != 0;
                    yield new Entry.Used(seq, takenMs, wallMs, monoUs, request, tryKey, tenant(from), requestClass,
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
                    yield new Entry.Gap(seq, firstMs, lastMs, tenant(from), count, written, fromParent, fromOrigin);
                }
                case CLOSE -> new Entry.Close(from.getLong(), from.getLong(), from.getLong(), from.getLong());
                case CLOCK -> new Entry.ClockStep(from.getLong(), from.getLong(), from.getLong(), from.getLong(),
                        from.get() != 0);
                default -> null;
            };
        } catch (RuntimeException bad) {
            throw new IOException("an entry that checks but cannot be read: " + bad);
        }
    }

    /** The name of a tenant, the same string again while it stays the same. */
    private String tenant(ByteBuffer from) {
        int length = from.get() & 255;
        int at = from.arrayOffset() + from.position();
        byte[] array = from.array();
        if (!Arrays.equals(lastName, 0, lastName.length, array, at, at + length)) {
            lastName = Arrays.copyOfRange(array, at, at + length);
            lastTenant = new String(lastName, StandardCharsets.UTF_8);
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
