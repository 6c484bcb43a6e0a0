package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.consensus.ReplicaId;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import io.microraft.model.impl.DefaultRaftModelFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class PolicyMessageCodecTest {

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private final PolicyMessageCodec sender = new PolicyMessageCodec(1, KEY);
    private final PolicyMessageCodec receiver = new PolicyMessageCodec(2, KEY);

    private static List<PolicyMessage> messages() {
        return List.of(new PolicyMessage.LeaseRequest(1, 7, 8, -1, 3, "no such site"),
                new PolicyMessage.LeaseRequest(1, 7, 8, 5, -1, null),
                new PolicyMessage.LeaseGrant(1, 7, 8, new PolicyTransition(4, 2, 4), "aa", 1, "bb", 3,
                        new TreeSet<>(Set.of(1, 900)), 5,
                        "late"),
                new PolicyMessage.LeaderHint(1, -1, 3), new PolicyMessage.PartRequest(1, "ab", 2),
                new PolicyMessage.PartResponse(1, "ab", 2, 4, "text"),
                new PolicyMessage.ChangeRequest(1, 9, 2, "ab", 4),
                new PolicyMessage.ChangeResponse(1, 9, ProposalResult.CONFLICT, 4),
                new PolicyMessage.JoinRequest(1, 77, true), new PolicyMessage.JoinResponse(1, 77, true, false));
    }

    @Test
    void readsBackEveryMessage() throws Exception {
        for (PolicyMessage message : messages()) {
            assertThat(receiver.read(sender.write(2, message))).isEqualTo(message);
        }
    }

    @Test
    void readsBackARaftMessage() throws Exception {
        var models = new DefaultRaftModelFactory();
        var entry =
                models.createLogEntryBuilder().setIndex(5).setTerm(2).setOperation(new PolicyChange.AppendPart("ab", 0,
                        "x")).build();
        var append = models.createAppendEntriesRequestBuilder().setGroupId(PolicyOperationCodec.GROUP)
                .setSender(new ReplicaId(1, 0)).setTerm(2)
                .setPreviousLogTerm(1).setPreviousLogIndex(4).setCommitIndex(3).setLogEntries(List.of(entry))
                .setQuerySequenceNumber(6).setFlowControlSequenceNumber(7).build();
        PolicyMessage read = receiver.read(sender.write(2, new PolicyMessage.RaftEnvelope(1, 3, append)));
        assertThat(read.toString()).isEqualTo(new PolicyMessage.RaftEnvelope(1, 3, append).toString());
    }

    @Test
    void rejectsForgedTruncatedAndMisaddressedDatagrams() {
        Random random = new Random(5);
        for (PolicyMessage message : messages()) {
            byte[] valid = sender.write(2, message).array();
            for (int i = 0; i < 50; i++) {
                byte[] forged = valid.clone();
                forged[random.nextInt(forged.length)] ^= (byte) (1 << random.nextInt(8));
                assertThatThrownBy(() -> receiver.read(ByteBuffer.wrap(forged)))
                        .isInstanceOf(MalformedMessageException.class);
            }
            assertThatThrownBy(() -> receiver.read(ByteBuffer.wrap(valid, 0, valid.length - 1)))
                    .isInstanceOf(MalformedMessageException.class);
            assertThatThrownBy(() -> new PolicyMessageCodec(3, KEY).read(ByteBuffer.wrap(valid)))
                    .isInstanceOf(MalformedMessageException.class);
        }
    }
}
