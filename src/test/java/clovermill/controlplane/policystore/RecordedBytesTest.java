package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.consensus.ReplicaId;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests that the encodings of messages and log entries are unchanged, as replicas of different versions interoperate.
 */
class RecordedBytesTest {

    private static final String RECORDED = "/clovermill/controlplane/policystore/recorded-bytes.txt";
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private static List<PolicyMessage> messages() {
        var models = new DefaultRaftModelFactory();
        var entry = models.createLogEntryBuilder().setIndex(5).setTerm(2)
                .setOperation(new PolicyChange.AppendPart("ab", 0, "x")).build();
        var append = models.createAppendEntriesRequestBuilder().setGroupId(PolicyOperationCodec.GROUP)
                .setSender(new ReplicaId(1, 0)).setTerm(2).setPreviousLogTerm(1).setPreviousLogIndex(4)
                .setCommitIndex(3).setLogEntries(List.of(entry)).setQuerySequenceNumber(6)
                .setFlowControlSequenceNumber(7).build();
        return List.of(new PolicyMessage.LeaseRequest(1, 7, 8, -1, 3, "no such site"),
                new PolicyMessage.LeaseRequest(1, 7, 8, 5, -1, null),
                new PolicyMessage.LeaseGrant(1, 7, 8, new PolicyTransition(4, 2, 4), "aa", 1, "bb", 3,
                        new TreeSet<>(Set.of(1, 900)), 5, "late"),
                new PolicyMessage.LeaderHint(1, -1, 3), new PolicyMessage.PartRequest(1, "ab", 2),
                new PolicyMessage.PartResponse(1, "ab", 2, 4, "text"),
                new PolicyMessage.ChangeRequest(1, 9, 2, "ab", 4),
                new PolicyMessage.ChangeResponse(1, 9, ProposalResult.CONFLICT, 4),
                new PolicyMessage.RaftEnvelope(1, 3, append),
                new PolicyMessage.JoinRequest(1, 77, true), new PolicyMessage.JoinResponse(1, 77, true, false));
    }

    /** Returns one Raft message of each kind. */
    private static List<RaftMessage> raftMessages() {
        var models = new DefaultRaftModelFactory();
        ReplicaId sender = new ReplicaId(1, 7);
        List<RaftEndpoint> members = List.of(sender, new ReplicaId(2, 0));
        var view = models.createRaftGroupMembersViewBuilder().setLogIndex(3).setMembers(members)
                .setVotingMembers(List.of(sender)).build();
        var chunk = models.createSnapshotChunkBuilder().setIndex(9).setTerm(2)
                .setOperation(new PolicyChange.Abort(4, "late")).setSnapshotChunkIndex(0).setSnapshotChunkCount(1)
                .setGroupMembersView(view).build();
        var update = models.createUpdateRaftGroupMembersOpBuilder().setMembers(members)
                .setVotingMembers(List.of(sender)).setEndpoint(sender)
                .setMode(MembershipChangeMode.ADD_LEARNER).build();
        var entry = models.createLogEntryBuilder().setIndex(5).setTerm(2).setOperation(update).build();
        Object group = PolicyOperationCodec.GROUP;
        return List.of(
                models.createPreVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setLastLogTerm(1).setLastLogIndex(4).build(),
                models.createPreVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setGranted(true).build(),
                models.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(2).setLastLogTerm(1)
                        .setLastLogIndex(4).setSticky(true).build(),
                models.createVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(2).setGranted(false)
                        .build(),
                models.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setPreviousLogTerm(1).setPreviousLogIndex(4).setCommitIndex(3)
                        .setLogEntries(List.of(entry)).setQuerySequenceNumber(6).setFlowControlSequenceNumber(7)
                        .build(),
                models.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setLastLogIndex(5).setQuerySequenceNumber(6).setFlowControlSequenceNumber(7).build(),
                models.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setExpectedNextIndex(5).setQuerySequenceNumber(6).setFlowControlSequenceNumber(7).build(),
                models.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setSenderLeader(true).setSnapshotTerm(2).setSnapshotIndex(9).setTotalSnapshotChunkCount(1)
                        .setSnapshotChunk(chunk).setSnapshottedMembers(members).setGroupMembersView(view)
                        .setQuerySequenceNumber(6).setFlowControlSequenceNumber(7).build(),
                models.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setSnapshotIndex(9).setRequestedSnapshotChunkIndex(1).setQuerySequenceNumber(6)
                        .setFlowControlSequenceNumber(7).build(),
                models.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(sender).setTerm(2)
                        .setLastLogTerm(1).setLastLogIndex(4).build());
    }

    private static List<Object> entries() {
        return List.of(new PolicyStateMachine.NewTerm(), new PolicyChange.AppendPart("ab", 2, "text"),
                new PolicyChange.Propose(3, "ab"), new PolicyChange.Complete(4), new PolicyChange.Abort(4, "late"),
                new PolicyStateMachine.SnapshotHeader(new PolicyTransition(4, 2, 4), 2, "late", "ab"),
                new PolicyStateMachine.SnapshotHeader(new PolicyTransition(4, 4, -1), 2, null, ""),
                new PolicyStateMachine.SnapshotPart(2, "text"));
    }

    @Test
    void everyMessageAndLogEntryHasTheRecordedBytes() throws IOException {
        List<String> bytes = new ArrayList<>();
        for (PolicyMessage message : messages()) {
            bytes.add(HexFormat.of().formatHex(new PolicyMessageCodec(1, KEY).write(2, message).array()));
        }
        for (Object entry : entries()) {
            ByteArrayOutputStream written = new ByteArrayOutputStream();
            new PolicyOperationCodec().write(entry, new DataOutputStream(written));
            bytes.add(HexFormat.of().formatHex(written.toByteArray()));
        }
        for (RaftMessage message : raftMessages()) {
            ByteArrayOutputStream written = new ByteArrayOutputStream();
            PolicyOperationCodec.messages().write(message, new DataOutputStream(written));
            bytes.add(HexFormat.of().formatHex(written.toByteArray()));
        }
        try (var recorded = RecordedBytesTest.class.getResourceAsStream(RECORDED)) {
            assertThat(bytes)
                    .isEqualTo(new String(recorded.readAllBytes(), StandardCharsets.US_ASCII).lines().toList());
        }
    }
}
