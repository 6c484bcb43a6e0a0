package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.Subject;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Events as bytes, in datagrams and in Raft's log. Big-endian:
 *
 * <pre>
 * event   = kind:1  key:8  createdAtMs:8  size:1 detail
 * events  = count:2, events
 * entries = count:2, for each: difference to the sequence number before as a varint (LEB128), event
 * </pre>
 */
final class EventCodec {

    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;
    private static final int VARINT_MORE = 0x80;

    private EventCodec() {}

    static void write(Event event, DataOutputStream out) throws IOException {
        out.writeByte(event.subject().kind().ordinal());
        out.writeLong(event.subject().key());
        out.writeLong(event.createdAtMs());
        byte[] detail = event.detail().getBytes(StandardCharsets.US_ASCII);
        out.writeByte(detail.length);
        out.write(detail);
    }

    static Event read(DataInputStream in) throws IOException {
        Subject subject = new Subject(Subject.Kind.values()[in.readUnsignedByte()], in.readLong());
        long createdAtMs = in.readLong();
        byte[] detail = new byte[in.readUnsignedByte()];
        in.readFully(detail);
        return new Event(subject, createdAtMs, new String(detail, StandardCharsets.US_ASCII));
    }

    static void writeEvents(List<Event> events, DataOutputStream out) throws IOException {
        out.writeShort(events.size());
        for (Event each : events) {
            write(each, out);
        }
    }

    static List<Event> readEvents(DataInputStream in) throws IOException {
        List<Event> events = new ArrayList<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            events.add(read(in));
        }
        return List.copyOf(events);
    }

    static void writeEntries(long from, List<Entry> entries, DataOutputStream out) throws IOException {
        out.writeShort(entries.size());
        long previous = from;
        for (Entry each : entries) {
            writeVarint(each.sequence() - previous, out);
            write(each.event(), out);
            previous = each.sequence();
        }
    }

    static List<Entry> readEntries(long from, DataInputStream in) throws IOException {
        List<Entry> entries = new ArrayList<>();
        long previous = from;
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            previous += readVarint(in);
            entries.add(new Entry(previous, read(in)));
        }
        return List.copyOf(entries);
    }

    private static void writeVarint(long value, DataOutputStream out) throws IOException {
        long left = value;
        while ((left & ~VARINT_MASK) != 0) {
            out.writeByte((int) (left & VARINT_MASK) | VARINT_MORE);
            left >>>= VARINT_BITS;
        }
        out.writeByte((int) left);
    }

    private static long readVarint(DataInputStream in) throws IOException {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += VARINT_BITS) {
            int next = in.readUnsignedByte();
            value |= (long) (next & VARINT_MASK) << shift;
            if ((next & VARINT_MORE) == 0) {
                return value;
            }
        }
        throw new IOException("a varint longer than 64 bits");
    }
}
