package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.RaftMember;
import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.consensus.RaftScheduler;
import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import clovermill.runtime.task.Task;
import io.microraft.RaftConfig;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A director's part in the one policy: it holds leases, hands in what its operators want and, if it is one of the
 * voters, votes and may lead. All its state is its own; it meets others by letters only.
 */
public final class PolicyStoreTask implements Task<PolicyTaskMessage> {

    /**
     * Who it is among whom.
     *
     * @param self this director's number
     * @param voters the directors that vote, by number, the same list everywhere
     */
    public record Place(int self, List<Integer> voters, LeaseTiming terms) {}

    /**
     * What the policy means to those who keep it.
     *
     * @param check why a policy cannot be kept here, or null
     * @param binding whether all that differs between two policies is refused where there is no lease
     */
    public record Meaning(Function<PolicyDocument, String> check,
            BiPredicate<PolicyDocument, PolicyDocument> binding) {}

    private static final int MOST_WANTED = 16;
    private static final RaftConfig CONFIG = RaftReplica.config().build();

    private final Place place;
    private final Meaning meaning;
    private final MessageTransport post;
    private final Random random;
    private final RaftScheduler agenda;
    private final PolicyVersions library = new PolicyVersions();
    private final Leases leases;
    private final Map<Long, PolicyTaskMessage.Wanted> wanted = new LinkedHashMap<>();
    private final RaftMember<PolicyStateMachine> member;
    private Leading leading;
    private long handInAtUs;
    private long turnUs;
    private long calls;

    /**
     * A part that begins now.
     *
     * @param disk where a voter keeps its promises; null for who does not vote
     * @param views hears of each change of what holds here
     */
    public PolicyStoreTask(Place place, Meaning meaning, MessageTransport post, RaftStorage disk, Random random,
            Consumer<PolicyView> views,
            long nowUs) {
        this.place = place;
        this.meaning = meaning;
        this.post = post;
        this.random = random;
        this.agenda = new RaftScheduler(nowUs);
        library.add(PolicyDocument.EMPTY);
        leases = new Leases(place.self(), random.nextLong(), place.voters(), place.terms(), library, post,
                meaning.check(), views);
        calls = random.nextLong() >>> 1;
        member = disk == null ? null : new RaftMember<>(new RaftMember.Place(place.self(), place.voters(),
                place.terms().askUs() / 2), disk,
                new RaftReplica.Host(PolicyOperationCodec.GROUP, CONFIG, disk,
                        agenda, random,
                        (to, message) -> post.send(to.node(), new PolicyMessage.Raft(place.self(), to.disk(),
                                message))),
                () -> new PolicyStateMachine(this::changed), this::began, new Joins());
        turnUs = nowUs;
        if (member != null) {
            member.restore();
        }
    }

    /** Letters of voters that join. */
    private final class Joins implements RaftMember.Outbox {
        @Override
        public void join(int to, long disk, boolean empty) {
            post.send(to, new PolicyMessage.Join(place.self(), disk, empty));
        }

        @Override
        public void joined(int to, long disk, boolean group, boolean votes) {
            post.send(to, new PolicyMessage.Joined(place.self(), disk, group, votes));
        }
    }

    /** Whether this voter leads. */
    public boolean leads() {
        return member != null && member.leads();
    }

    /** What holds here. */
    public PolicyView view() {
        return leases.view();
    }

    private RaftReplica<PolicyStateMachine> voter() {
        return member == null ? null : member.replica();
    }

    private void began(RaftReplica<PolicyStateMachine> voter) {
        leading = new Leading(place.self(), place.terms(), voter, library, post, meaning.binding(), turnUs);
    }

    private void changed(PolicyRegister register) {
        library.add(register.policy());
        if (register.pending() != null) {
            library.add(register.pending());
        }
        if (leading != null) {
            leading.changed();
        }
    }

    @Override
    public void on(PolicyTaskMessage mail, long nowUs) {
        turnUs = nowUs;
        agenda.run(nowUs);
        if (mail instanceof PolicyTaskMessage.Arrived arrived) {
            arrived(arrived.letter(), nowUs);
        } else if (mail instanceof PolicyTaskMessage.Wanted want) {
            if (wanted.size() >= MOST_WANTED) {
                want.done().accept(null, 0L);
            } else {
                wanted.put(++calls, want);
                handInAtUs = nowUs;
            }
        }
        agenda.run(nowUs);
    }

    private void arrived(PolicyMessage letter, long nowUs) {
        if (letter instanceof PolicyMessage.Grant grant) {
            leases.granted(grant, nowUs);
        } else if (letter instanceof PolicyMessage.Elsewhere elsewhere) {
            leases.elsewhere(elsewhere, nowUs);
        } else if (letter instanceof PolicyMessage.Part part) {
            leases.part(part, nowUs);
        } else if (letter instanceof PolicyMessage.PartAsk ask) {
            give(ask);
        } else if (letter instanceof PolicyMessage.Submitted done) {
            settled(done);
        } else if (letter instanceof PolicyMessage.Joined joined) {
            joined(joined);
        } else if (letter instanceof PolicyMessage.Join join && member != null) {
            member.onJoin(join.from(), join.disk(), join.empty());
        } else if (voter() != null) {
            atVoter(letter, nowUs);
        }
    }

    private void atVoter(PolicyMessage letter, long nowUs) {
        if (letter instanceof PolicyMessage.Raft raft && raft.disk() == voter().self().disk()) {
            voter().handle(raft.message(), nowUs);
        } else if (letter instanceof PolicyMessage.Ask ask) {
            leading.asked(ask);
        } else if (letter instanceof PolicyMessage.Submit submit) {
            leading.submitted(submit);
        }
    }

    private void give(PolicyMessage.PartAsk ask) {
        PolicyDocument document = library.get(ask.digest());
        if (document == null && voter() != null) {
            document = voter().machine().register().document(ask.digest());
        }
        PolicyDocument own =
                document != null ? document : wanted.values().stream().map(PolicyTaskMessage.Wanted::policy)
                        .filter(each -> each != null && each.digest().equals(ask.digest())).findFirst().orElse(null);
        if (own != null && ask.number() >= 0 && ask.number() < own.parts().size()) {
            post.send(ask.from(), new PolicyMessage.Part(place.self(), ask.digest(), ask.number(), own.parts().size(),
                    own.parts().get(ask.number())));
        }
    }

    private void settled(PolicyMessage.Submitted done) {
        if (done.taken() != Taken.UNKNOWN) {
            PolicyTaskMessage.Wanted want = wanted.remove(done.call());
            if (want != null) {
                want.done().accept(done.taken(), done.version());
            }
        }
    }

    @Override
    public long tick(long nowUs) {
        turnUs = nowUs;
        long next = agenda.run(nowUs);
        long memberAtUs = member == null ? Long.MAX_VALUE : tickMember(nowUs);
        if (!wanted.isEmpty() && nowUs >= handInAtUs) {
            handInAtUs = nowUs + place.terms().askUs() / 4;
            wanted.forEach((call, want) -> post.send(leases.leader(), new PolicyMessage.Submit(place.self(), call,
                    want.follows(), want.policy() == null ? "" : want.policy().digest(),
                    want.policy() == null ? 0 : want.policy().parts().size())));
        }
        next = Math.min(next, leases.tick(nowUs));
        if (leading != null) {
            next = Math.min(next, leading.tick(nowUs));
        }
        next = Math.min(next, agenda.run(nowUs));
        next = Math.min(next, wanted.isEmpty() ? Long.MAX_VALUE : handInAtUs);
        return Math.min(next, memberAtUs);
    }

    /** A voter whose file has failed leads nothing until it is back. */
    private long tickMember(long nowUs) {
        long recoverAtUs = member.recover(nowUs);
        if (voter() == null) {
            leading = null;
        }
        member.restartIfStuck(nowUs);
        return Math.min(recoverAtUs, member.join(nowUs));
    }

    private void joined(PolicyMessage.Joined joined) {
        if (member != null) {
            member.onJoined(joined.from(), joined.disk(), joined.group(), joined.member());
        }
    }

    @Override
    public void stop(long nowUs) {
        if (member != null) {
            member.stop();
        }
        agenda.run(nowUs);
    }
}
