package clovermill.controlplane.gossip.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.gossip.decide.GossipMember.GroupMembership;
import clovermill.controlplane.gossip.decide.GossipMember.OutgoingMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One member of a fleet among its peers, message by message. */
class GossipMemberTest {

    private static final long INTERVAL = 200_000;
    private final List<String> updates = new ArrayList<>();
    private final GossipMember one = member(0, 1);
    private final GossipMember two = member(1, 2);

    private GossipMember member(int self, long seed) {
        RateLimitShare.Parameters parameters = new RateLimitShare.Parameters(300, 3, 0.1, 2_000_000, 0.01);
        return new GossipMember(new GroupMembership(self, 3, INTERVAL, 2), List.of(new RateLimitShare(parameters, 0)),
                new SplittableRandom(seed),
                entry -> updates.add(self + " " + entry.key() + " " + entry.value()), 0);
    }

    private static GossipMessage to(int peer, List<OutgoingMessage> messages) {
        return messages.stream().filter(each -> each.to() == peer).findFirst().orElseThrow().message();
    }

    @Test
    void anEntryIsMergedAtThePeerOnce() {
        assertThat(one.put("cache/s-1", true)).isTrue();
        assertThat(one.put("cache/s-1", true)).as("put twice").isFalse();
        GossipMessage message = to(1, one.tick(0));
        two.receive(message, 0);
        assertThat(two.isSet("cache/s-1")).isTrue();
        two.receive(message, 1);
        assertThat(two.ignored()).as("the same datagram again").isEqualTo(1);
        assertThat(updates).containsExactly("1 cache/s-1 true");
        assertThat(two.digest()).isEqualTo(one.digest());
    }

    @Test
    void anUnsetKeyIsNotSetAgainByALateMessage() {
        one.put("cache/s-1", true);
        GossipMessage late = to(2, one.tick(0));
        two.receive(to(1, one.tick(0)), 0);
        two.put("cache/s-1", false);
        GossipMember three = member(2, 3);
        three.receive(to(2, two.tick(1)), 1);
        three.receive(late, 2);
        assertThat(three.isSet("cache/s-1")).isFalse();
        assertThat(three.digest()).isEqualTo(two.digest());
    }

    @Test
    void concurrentWritesConvergeAndTheOneThatSetsTheKeyWins() {
        one.put("a", true);
        two.receive(to(1, one.tick(0)), 0);
        one.put("a", false);
        two.put("a", false);
        two.put("a", true); // now a later version than the other's
        one.receive(to(0, two.tick(1)), 1);
        two.receive(to(1, one.tick(1)), 1);
        assertThat(one.isSet("a")).isTrue();
        assertThat(two.digest()).isEqualTo(one.digest());
        ReplicatedEntry sets = new ReplicatedEntry("b", true, 7, 0);
        ReplicatedEntry unsets = new ReplicatedEntry("b", false, 7, 9);
        assertThat(sets.supersedes(unsets)).isTrue();
        assertThat(unsets.supersedes(sets)).isFalse();
    }

    @Test
    void aRestartedMemberReceivesAllEntriesByAntiEntropy() {
        for (int i = 0; i < 40; i++) {
            one.put("cache/s-" + i, true);
        }
        for (int i = 0; i < 60; i++) {
            one.tick(i); // by now no entry is a rumor any more
        }
        GossipMember restarted = member(1, 99);
        for (int i = 0; i < 10; i++) {
            for (OutgoingMessage answer : one.receive(to(0, restarted.tick(i)), i)) {
                restarted.receive(answer.message(), i);
            }
            restarted.receive(to(1, one.tick(i)), i);
        }
        assertThat(restarted.digest()).isEqualTo(one.digest());
    }

    @Test
    void messagesOfAnEarlierStartOrOfNoPeerAreIgnored() {
        GossipMessage before = to(1, one.tick(0));
        two.receive(before, 0);
        two.receive(to(1, member(0, 50).tick(1)), 1);
        two.receive(to(1, one.tick(2)), 2);
        assertThat(two.ignored()).as("of the start before").isEqualTo(1);
        two.receive(new GossipMessage(7, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        two.receive(new GossipMessage(1, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        assertThat(two.ignored()).as("of no member, and of its own").isEqualTo(3);
    }

    @Test
    void aLoanThatWasNotRequestedOrIsRepeatedIsIgnored() {
        long now = 5_000_000;
        two.receive(new GossipMessage(0, 1, 1, 0, List.of(), List.of(), List.of(new GossipMessage.Loan(0, 123, 50))),
                now);
        assertThat(two.share(0).amount(now)).isEqualTo(100);
        for (long at = now - 1_000_000; at < now; at += 2_000) {
            two.share(0).admit(at, at);
        }
        GossipMessage request = to(0, two.tick(now));
        assertThat(request.loanRequests()).hasSize(1);
        GossipMessage answer = to(1, one.receive(request, now));
        two.receive(answer, now);
        assertThat(two.share(0).amount(now)).isEqualTo(180);
        two.receive(
                new GossipMessage(0, answer.incarnation(), answer.sequence() + 1, 0, List.of(), List.of(),
                        answer.loans()),
                now);
        assertThat(two.share(0).amount(now)).as("lent twice by the same nonce").isEqualTo(180);
    }

    @Test
    void repeatedRequestsForOneLimitInAMessageGetOneLoan() {
        List<GossipMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            requests.add(new GossipMessage.LoanRequest(0, i, 1));
        }
        GossipMessage many = new GossipMessage(0, 1, 1, 0, List.of(), requests, List.of());
        assertThat(to(0, two.receive(many, 5_000_000)).loans()).hasSize(1);
    }

    @Test
    void everyPeerIsSentToInEveryRoundAndASilentOneBecomesUnreachable() {
        GroupMembership membership = new GroupMembership(2, 10, INTERVAL, 4);
        GossipMember among = new GossipMember(membership, List.of(), new SplittableRandom(4), entry -> {}, 0);
        Set<Integer> targets = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            among.tick(i * INTERVAL).forEach(each -> targets.add(each.to()));
        }
        assertThat(targets).containsExactlyInAnyOrder(0, 1, 3, 4, 5, 6, 7, 8, 9);
        assertThat(among.state(1, 3 * INTERVAL)).isEqualTo(PeerState.ALIVE);
        assertThat(among.state(1, 7 * INTERVAL)).isEqualTo(PeerState.SUSPECT);
        assertThat(among.state(1, 16 * INTERVAL)).isEqualTo(PeerState.UNREACHABLE);
    }

    @Test
    void theReplicatedMapIsBounded() {
        for (int i = 0; i < ReplicatedMap.MAX_ENTRIES + 50; i++) {
            one.put("key/" + i, true);
        }
        assertThat(one.put("key/one more", true)).isFalse();
        assertThat(one.put("key/3", false)).as("a known key can still be unset").isTrue();
    }
}
