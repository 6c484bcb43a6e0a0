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

class GossipMemberTest {

    private static final long INTERVAL_US = 200_000;
    private final List<String> updates = new ArrayList<>();
    private final GossipMember one = member(0, 1);
    private final GossipMember two = member(1, 2);

    private GossipMember member(int self, long seed) {
        RateLimitShare.Parameters parameters = new RateLimitShare.Parameters(300, 3, 0.1, 2_000_000, 0.01);
        return new GossipMember(new GroupMembership(self, 3, INTERVAL_US, 2),
                List.of(new RateLimitShare(parameters, 0)),
                new SplittableRandom(seed),
                entry -> updates.add(self + " " + entry.key() + " " + entry.value()), 0);
    }

    private static GossipMessage messageTo(int peer, List<OutgoingMessage> messages) {
        return messages.stream().filter(each -> each.to() == peer).findFirst().orElseThrow().message();
    }

    @Test
    void mergesAnEntryOnce() {
        assertThat(one.put("cache/s-1", true)).isTrue();
        assertThat(one.put("cache/s-1", true)).as("same value again").isFalse();
        GossipMessage message = messageTo(1, one.tick(0));
        two.receive(message, 0);
        assertThat(two.isSet("cache/s-1")).isTrue();
        two.receive(message, 1);
        assertThat(two.ignored()).as("replayed message").isEqualTo(1);
        assertThat(updates).containsExactly("1 cache/s-1 true");
        assertThat(two.digest()).isEqualTo(one.digest());
    }

    @Test
    void lateMessageDoesNotSetAnUnsetKey() {
        one.put("cache/s-1", true);
        GossipMessage late = messageTo(2, one.tick(0));
        two.receive(messageTo(1, one.tick(0)), 0);
        two.put("cache/s-1", false);
        GossipMember three = member(2, 3);
        three.receive(messageTo(2, two.tick(1)), 1);
        three.receive(late, 2);
        assertThat(three.isSet("cache/s-1")).isFalse();
        assertThat(three.digest()).isEqualTo(two.digest());
    }

    @Test
    void concurrentWritesConvergeToTheOneThatSetsTheKey() {
        one.put("a", true);
        two.receive(messageTo(1, one.tick(0)), 0);
        one.put("a", false);
        two.put("a", false);
        two.put("a", true); // has a later version than the other's write
        one.receive(messageTo(0, two.tick(1)), 1);
        two.receive(messageTo(1, one.tick(1)), 1);
        assertThat(one.isSet("a")).isTrue();
        assertThat(two.digest()).isEqualTo(one.digest());
        ReplicatedEntry sets = new ReplicatedEntry("b", true, 7, 0);
        ReplicatedEntry unsets = new ReplicatedEntry("b", false, 7, 9);
        assertThat(sets.supersedes(unsets)).isTrue();
        assertThat(unsets.supersedes(sets)).isFalse();
    }

    @Test
    void restartedMemberReceivesAllEntriesByAntiEntropy() {
        for (int i = 0; i < 40; i++) {
            one.put("cache/s-" + i, true);
        }
        for (int i = 0; i < 60; i++) {
            one.tick(i); // afterwards no entry is a rumor any more
        }
        GossipMember restarted = member(1, 99);
        for (int i = 0; i < 10; i++) {
            for (OutgoingMessage answer : one.receive(messageTo(0, restarted.tick(i)), i)) {
                restarted.receive(answer.message(), i);
            }
            restarted.receive(messageTo(1, one.tick(i)), i);
        }
        assertThat(restarted.digest()).isEqualTo(one.digest());
    }

    @Test
    void ignoresMessagesOfAnEarlierIncarnationOrANonMember() {
        GossipMessage before = messageTo(1, one.tick(0));
        two.receive(before, 0);
        two.receive(messageTo(1, member(0, 50).tick(1)), 1);
        two.receive(messageTo(1, one.tick(2)), 2);
        assertThat(two.ignored()).as("earlier incarnation").isEqualTo(1);
        two.receive(new GossipMessage(7, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        two.receive(new GossipMessage(1, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        assertThat(two.ignored()).as("non-member, and itself").isEqualTo(3);
    }

    @Test
    void ignoresLoansThatWereNotRequestedOrAreRepeated() {
        long now = 5_000_000;
        two.receive(new GossipMessage(0, 1, 1, 0, List.of(), List.of(), List.of(new GossipMessage.Loan(0, 123, 50))),
                now);
        assertThat(two.share(0).amount(now)).isEqualTo(100);
        for (long at = now - 1_000_000; at < now; at += 2_000) {
            two.share(0).admit(at, at);
        }
        GossipMessage request = messageTo(0, two.tick(now));
        assertThat(request.loanRequests()).hasSize(1);
        GossipMessage answer = messageTo(1, one.receive(request, now));
        two.receive(answer, now);
        assertThat(two.share(0).amount(now)).isEqualTo(180);
        two.receive(
                new GossipMessage(0, answer.incarnation(), answer.sequence() + 1, 0, List.of(), List.of(),
                        answer.loans()),
                now);
        assertThat(two.share(0).amount(now)).as("second loan with the same nonce").isEqualTo(180);
    }

    @Test
    void grantsOneLoanPerLimitAndMessage() {
        List<GossipMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            requests.add(new GossipMessage.LoanRequest(0, i, 1));
        }
        GossipMessage many = new GossipMessage(0, 1, 1, 0, List.of(), requests, List.of());
        assertThat(messageTo(0, two.receive(many, 5_000_000)).loans()).hasSize(1);
    }

    @Test
    void sendsToEveryPeerInEveryRoundAndDetectsUnreachablePeers() {
        GroupMembership membership = new GroupMembership(2, 10, INTERVAL_US, 4);
        GossipMember member = new GossipMember(membership, List.of(), new SplittableRandom(4), entry -> {}, 0);
        Set<Integer> targets = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            member.tick(i * INTERVAL_US).forEach(each -> targets.add(each.to()));
        }
        assertThat(targets).containsExactlyInAnyOrder(0, 1, 3, 4, 5, 6, 7, 8, 9);
        assertThat(member.state(1, 3 * INTERVAL_US)).isEqualTo(PeerState.ALIVE);
        assertThat(member.state(1, 7 * INTERVAL_US)).isEqualTo(PeerState.SUSPECT);
        assertThat(member.state(1, 16 * INTERVAL_US)).isEqualTo(PeerState.UNREACHABLE);
    }

    @Test
    void replicatedMapRejectsNewKeysAtItsBound() {
        for (int i = 0; i < ReplicatedMap.MAX_ENTRIES + 50; i++) {
            one.put("key/" + i, true);
        }
        assertThat(one.put("key/one more", true)).isFalse();
        assertThat(one.put("key/3", false)).as("a known key can still be unset").isTrue();
    }
}
