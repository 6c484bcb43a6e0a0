package clovermill.fleet.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.fleet.decide.FleetMember.Outgoing;
import clovermill.fleet.decide.FleetMember.Place;
import clovermill.fleet.decide.FleetMember.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One director among its fellows, message by message. */
class FleetMemberTest {

    private static final long INTERVAL = 200_000;
    private final List<String> heard = new ArrayList<>();
    private final FleetMember one = member(0, 1);
    private final FleetMember two = member(1, 2);

    private FleetMember member(int self, long seed) {
        LeasedRate.Terms terms = new LeasedRate.Terms(300, 3, 0.1, 2_000_000, 0.01);
        return new FleetMember(new Place(self, 3, INTERVAL, 2), List.of(new LeasedRate(terms, 0)),
                new SplittableRandom(seed),
                verdict -> heard.add(self + " " + verdict.subject() + " " + verdict.on()), 0);
    }

    private static Message to(int fellow, List<Outgoing> messages) {
        return messages.stream().filter(each -> each.to() == fellow).findFirst().orElseThrow().message();
    }

    @Test
    void aVerdictHoldsAtTheFellowAndIsHeardOnce() {
        assertThat(one.say("cache/s-1", true)).isTrue();
        assertThat(one.say("cache/s-1", true)).as("said twice").isFalse();
        Message message = to(1, one.tick(0));
        two.heard(message, 0);
        assertThat(two.holds("cache/s-1")).isTrue();
        two.heard(message, 1);
        assertThat(two.ignored()).as("the same datagram again").isEqualTo(1);
        assertThat(heard).containsExactly("1 cache/s-1 true");
        assertThat(two.digest()).isEqualTo(one.digest());
    }

    @Test
    void whatWasUndoneIsNotBroughtBackByALateMessage() {
        one.say("cache/s-1", true);
        Message late = to(2, one.tick(0));
        two.heard(to(1, one.tick(0)), 0);
        two.say("cache/s-1", false);
        FleetMember three = member(2, 3);
        three.heard(to(2, two.tick(1)), 1);
        three.heard(late, 2);
        assertThat(three.holds("cache/s-1")).isFalse();
        assertThat(three.digest()).isEqualTo(two.digest());
    }

    @Test
    void verdictsThatCrossEndAlikeAndTheBindingOneHolds() {
        one.say("a", true);
        two.heard(to(1, one.tick(0)), 0);
        one.say("a", false);
        two.say("a", false);
        two.say("a", true); // now a later version than the other's
        one.heard(to(0, two.tick(1)), 1);
        two.heard(to(1, one.tick(1)), 1);
        assertThat(one.holds("a")).isTrue();
        assertThat(two.digest()).isEqualTo(one.digest());
        Verdict binds = new Verdict("b", true, 7, 0);
        Verdict undoes = new Verdict("b", false, 7, 9);
        assertThat(binds.beats(undoes)).isTrue();
        assertThat(undoes.beats(binds)).isFalse();
    }

    @Test
    void oneThatStartsAnewHearsAllThatHoldsThoughNoneOfItIsNews() {
        for (int i = 0; i < 40; i++) {
            one.say("cache/s-" + i, true);
        }
        for (int i = 0; i < 60; i++) {
            one.tick(i); // by now nothing goes out of itself any more
        }
        FleetMember anew = member(1, 99);
        for (int i = 0; i < 10; i++) {
            for (Outgoing answer : one.heard(to(0, anew.tick(i)), i)) {
                anew.heard(answer.message(), i);
            }
            anew.heard(to(1, one.tick(i)), i);
        }
        assertThat(anew.digest()).isEqualTo(one.digest());
    }

    @Test
    void messagesOfAnEarlierStartAndOfNobodyAreIgnored() {
        Message before = to(1, one.tick(0));
        two.heard(before, 0);
        two.heard(to(1, member(0, 50).tick(1)), 1);
        two.heard(to(1, one.tick(2)), 2);
        assertThat(two.ignored()).as("of the start before").isEqualTo(1);
        two.heard(new Message(7, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        two.heard(new Message(1, 1, 1, 0, List.of(), List.of(), List.of()), 3);
        assertThat(two.ignored()).as("of no place, and of its own").isEqualTo(3);
    }

    @Test
    void aLoanThatNobodyAskedForOrThatComesTwiceIsNone() {
        long now = 5_000_000;
        two.heard(new Message(0, 1, 1, 0, List.of(), List.of(), List.of(new Message.Loan(0, 123, 50))), now);
        assertThat(two.slice(0).amount(now)).isEqualTo(100);
        for (long at = now - 1_000_000; at < now; at += 2_000) {
            two.slice(0).admit(at, at);
        }
        Message asks = to(0, two.tick(now));
        assertThat(asks.asks()).hasSize(1);
        Message answer = to(1, one.heard(asks, now));
        two.heard(answer, now);
        assertThat(two.slice(0).amount(now)).isEqualTo(180);
        two.heard(new Message(0, answer.boot(), answer.sequence() + 1, 0, List.of(), List.of(), answer.loans()), now);
        assertThat(two.slice(0).amount(now)).as("lent twice by the same nonce").isEqualTo(180);
    }

    @Test
    void whoeverAsksForOneLimitOverAndOverGetsOneAnswer() {
        List<Message.Ask> asks = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            asks.add(new Message.Ask(0, i, 1));
        }
        Message many = new Message(0, 1, 1, 0, List.of(), asks, List.of());
        assertThat(to(0, two.heard(many, 5_000_000)).loans()).hasSize(1);
    }

    @Test
    void everyFellowIsToldSomethingInEveryRoundAndOneThatIsQuietIsSeen() {
        Place place = new Place(2, 10, INTERVAL, 4);
        FleetMember among = new FleetMember(place, List.of(), new SplittableRandom(4), verdict -> { }, 0);
        Set<Integer> told = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            among.tick(i * INTERVAL).forEach(each -> told.add(each.to()));
        }
        assertThat(told).containsExactlyInAnyOrder(0, 1, 3, 4, 5, 6, 7, 8, 9);
        assertThat(among.state(1, 3 * INTERVAL)).isEqualTo(State.HEARD);
        assertThat(among.state(1, 7 * INTERVAL)).isEqualTo(State.SUSPECT);
        assertThat(among.state(1, 16 * INTERVAL)).isEqualTo(State.SILENT);
    }

    @Test
    void thePlaceForVerdictsIsBounded() {
        for (int i = 0; i < Verdicts.MOST + 50; i++) {
            one.say("key/" + i, true);
        }
        assertThat(one.say("key/one more", true)).isFalse();
        assertThat(one.say("key/3", false)).as("a known one can still be undone").isTrue();
    }
}
