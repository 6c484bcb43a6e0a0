package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.consensus.ReplicaId;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import io.microraft.model.impl.DefaultRaftModelFactory;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class PolicyMessageCodecTest {

    private static final byte[] KEY = "0123456789abcdef".getBytes();
    private final PolicyMessageCodec from = new PolicyMessageCodec(1, KEY);
    private final PolicyMessageCodec to = new PolicyMessageCodec(2, KEY);

    private static List<PolicyMessage> letters() {
        return List.of(new PolicyMessage.Ask(1, 7, 8, -1, 3, "no such site"),
                new PolicyMessage.Ask(1, 7, 8, 5, -1, null),
                new PolicyMessage.Grant(1, 7, 8, new PolicyTransition(4, 2, 4), "aa", 1, "bb", 3,
                        new TreeSet<>(Set.of(1, 900)), 5,
                        "late"),
                new PolicyMessage.Elsewhere(1, -1, 3), new PolicyMessage.PartAsk(1, "ab", 2),
                new PolicyMessage.Part(1, "ab", 2, 4, "text"),
                new PolicyMessage.Submit(1, 9, 2, "ab", 4), new PolicyMessage.Submitted(1, 9, Taken.CONFLICT, 4),
                new PolicyMessage.Join(1, 77, true), new PolicyMessage.Joined(1, 77, true, false));
    }

    @Test
    void everyLetterIsReadAsItWasWritten() throws Exception {
        for (PolicyMessage letter : letters()) {
            assertThat(to.read(from.write(2, letter))).isEqualTo(letter);
        }
    }

    @Test
    void theVotersOwnAreReadAsTheyWereWritten() throws Exception {
        var models = new DefaultRaftModelFactory();
        var entry = models.createLogEntryBuilder().setIndex(5).setTerm(2).setOperation(new PolicyChange.Part("ab", 0,
                "x")).build();
        var append = models.createAppendEntriesRequestBuilder().setGroupId(PolicyOperationCodec.GROUP)
                .setSender(new ReplicaId(1, 0)).setTerm(2)
                .setPreviousLogTerm(1).setPreviousLogIndex(4).setCommitIndex(3).setLogEntries(List.of(entry))
                .setQuerySequenceNumber(6).setFlowControlSequenceNumber(7).build();
        PolicyMessage read = to.read(from.write(2, new PolicyMessage.Raft(1, 3, append)));
        assertThat(read.toString()).isEqualTo(new PolicyMessage.Raft(1, 3, append).toString());
    }

    @Test
    void whatIsForgedCutOrForAnotherIsNoLetter() {
        Random random = new Random(5);
        for (PolicyMessage letter : letters()) {
            byte[] good = from.write(2, letter).array();
            for (int i = 0; i < 50; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                assertThatThrownBy(() -> to.read(ByteBuffer.wrap(bad)))
                        .isInstanceOf(PolicyMessageCodec.BadLetter.class);
            }
            assertThatThrownBy(() -> to.read(ByteBuffer.wrap(good, 0, good.length - 1)))
                    .isInstanceOf(PolicyMessageCodec.BadLetter.class);
            assertThatThrownBy(() -> new PolicyMessageCodec(3, KEY).read(ByteBuffer.wrap(good)))
                    .isInstanceOf(PolicyMessageCodec.BadLetter.class);
        }
    }
}
