package clovermill.controlplane.eventlog;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.consensus.ReplicaId;
import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.LogRange;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import clovermill.controlplane.eventlog.decide.Subject;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import io.microraft.model.impl.DefaultRaftModelFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PacketCodecTest {

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final Event EVENT = new Event(new Subject(Kind.GROUP_PURGE, -5), 1L << 40, "why");
    private final PacketCodec sender = new PacketCodec(1, 9, KEY, 70);
    private final PacketCodec receiver = new PacketCodec(2, 9, KEY, 71);

    private static List<Packet> packets() {
        LogRange range = new LogRange(3, 900, 901, new TruncatedPrefix(4, 5),
                List.of(new Entry(6, EVENT), new Entry(900, EVENT)));
        List<EventLogMessage> messages = List.of(new EventLogMessage.Follow(1, 2, 3, 4, true),
                new EventLogMessage.Batch(1, 2, 3, -1, 5, range),
                new EventLogMessage.Batch(1, 2, 3, 4, 5, new LogRange(0, 0, 0, null, List.of())),
                new EventLogMessage.OpenSession(5),
                new EventLogMessage.SessionOpened(5, 6), new EventLogMessage.Append(6, 7, List.of(EVENT, EVENT)),
                new EventLogMessage.AppendAnswer(6, 7, new EventLog.AppendResult(EventLog.AppendOutcome.OUTDATED, 0)),
                new EventLogMessage.Redirect(-1), new EventLogMessage.ReadIndex(8),
                new EventLogMessage.ReadIndexAnswer(8, 9));
        List<Packet> packets = new ArrayList<>(messages.stream().map(Packet.EventLogPacket::new).toList());
        packets.add(new Packet.JoinRequest(7, true));
        packets.add(new Packet.JoinResponse(7, true, false));
        return packets;
    }

    @Test
    void roundTripsEachKindOfPacket() throws Exception {
        for (Packet packet : packets()) {
            assertThat(receiver.read(sender.write(2, packet))).isEqualTo(new PacketCodec.Received(1, packet));
        }
    }

    @Test
    void roundTripsRaftMessagesWithEachOperation() throws Exception {
        var models = new DefaultRaftModelFactory();
        List<Object> operations = List.of(new EventLogStateMachine.NewTerm(5), new EventLogStateMachine.OpenSession(),
                new EventLogStateMachine.Append(1, 2, List.of(EVENT)),
                new EventLogStateMachine.SnapshotHead(new EventLog.LogState(1, 2, new TruncatedPrefix(3, 4), 5)),
                new EventLogStateMachine.SnapshotEntries(List.of(new Entry(6, EVENT))),
                new EventLogStateMachine.SnapshotSessions(List.of(new EventLog.Session(1, 2, 3))));
        for (Object operation : operations) {
            var entry = models.createLogEntryBuilder().setIndex(5).setTerm(2).setOperation(operation).build();
            var append = models.createAppendEntriesRequestBuilder().setGroupId(EventOperationCodec.GROUP)
                    .setSender(new ReplicaId(1, 0)).setTerm(2).setPreviousLogTerm(1).setPreviousLogIndex(4)
                    .setCommitIndex(3).setLogEntries(List.of(entry)).setQuerySequenceNumber(6)
                    .setFlowControlSequenceNumber(7).build();
            Packet read = receiver.read(sender.write(2, new Packet.RaftPacket(3, append))).packet();
            assertThat(read.toString()).isEqualTo(new Packet.RaftPacket(3, append).toString());
        }
    }

    @Test
    void rejectsForgedAndTruncatedDatagramsAndThoseForOrFromOtherProcesses() {
        Random random = new Random(5);
        for (Packet packet : packets()) {
            byte[] good = sender.write(2, packet);
            for (int i = 0; i < 50; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                assertThatThrownBy(() -> receiver.read(bad)).isInstanceOf(InvalidPacketException.class);
            }
            assertThatThrownBy(() -> receiver.read(Arrays.copyOf(good, good.length - 1)))
                    .isInstanceOf(InvalidPacketException.class);
            assertThatThrownBy(() -> new PacketCodec(3, 9, KEY, 72).read(good))
                    .isInstanceOf(InvalidPacketException.class);
            assertThatThrownBy(() -> new PacketCodec(2, 1, KEY, 72).read(good))
                    .isInstanceOf(InvalidPacketException.class);
        }
    }

    @Test
    void rejectsReplayedDatagrams() throws Exception {
        byte[] first = sender.write(2, new Packet.JoinRequest(7, true));
        byte[] second = sender.write(2, new Packet.JoinRequest(8, true));
        receiver.read(second);
        receiver.read(first);
        assertThatThrownBy(() -> receiver.read(first)).hasMessage("replayed");
        assertThatThrownBy(() -> receiver.read(second)).hasMessage("replayed");
    }

    @Test
    void aBatchIsNoLargerThanItsComputedSizeAndFitsADatagramWithoutFragmentation() {
        EventLog log = new EventLog(new EventLog.Bounds(100_000, 1));
        log.openSession();
        for (int i = 1; i < 300; i++) {
            log.append(1, i, List.of(new Event(new Subject(Kind.OBJECT_PURGE, i), i, "x".repeat(i % 65))));
        }
        for (int at = 0; at < 299; at++) {
            EventLogMessage.Batch batch = new EventLogMessage.Batch(1, 2, 3, 4, 5, log.read(at, 1200));
            int bytes = sender.write(2, new Packet.EventLogPacket(batch)).length + 28;
            assertThat(bytes).isBetween(batch.bytes() - 16, batch.bytes()).isLessThanOrEqualTo(1400);
        }
    }
}
