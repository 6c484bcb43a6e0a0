package clovermill.accord;

import clovermill.accord.decide.Document;
import clovermill.accord.decide.Library;
import clovermill.accord.decide.Register;
import clovermill.accord.decide.Register.Taken;
import clovermill.accord.decide.Terms;
import clovermill.consensus.RaftMember;
import clovermill.consensus.RaftReplica;
import clovermill.consensus.RaftScheduler;
import clovermill.consensus.RaftStorage;
import clovermill.task.Task;
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
public final class AccordTask implements Task<Mail> {

    /**
     * Who it is among whom.
     *
     * @param self this director's number
     * @param voters the directors that vote, by number, the same list everywhere
     */
    public record Place(int self, List<Integer> voters, Terms terms) {}

    /**
     * What the policy means to those who keep it.
     *
     * @param check why a policy cannot be kept here, or null
     * @param binding whether all that differs between two policies is refused where there is no lease
     */
    public record Meaning(Function<Document, String> check, BiPredicate<Document, Document> binding) {}

    private static final int MOST_WANTED = 16;
    private static final RaftConfig CONFIG = RaftReplica.config().build();

    private final Place place;
    private final Meaning meaning;
    private final Post post;
    private final Random random;
    private final RaftScheduler agenda;
    private final Library library = new Library();
    private final Leases leases;
    private final Map<Long, Mail.Wanted> wanted = new LinkedHashMap<>();
    private final RaftMember<RegisterMachine> member;
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
    public AccordTask(Place place, Meaning meaning, Post post, RaftStorage disk, Random random, Consumer<View> views,
            long nowUs) {
        this.place = place;
        this.meaning = meaning;
        this.post = post;
        this.random = random;
        this.agenda = new RaftScheduler(nowUs);
        library.add(Document.EMPTY);
        leases = new Leases(place.self(), random.nextLong(), place.voters(), place.terms(), library, post,
                meaning.check(), views);
        calls = random.nextLong() >>> 1;
        member = disk == null ? null : new RaftMember<>(new RaftMember.Place(place.self(), place.voters(),
                place.terms().askUs() / 2), disk,
                new RaftReplica.Host(RegisterOperationCodec.GROUP, CONFIG, disk,
                        agenda, random, (to, message) -> post.send(to.node(), new Letter.Raft(place.self(), to.disk(),
                                message))),
                () -> new RegisterMachine(this::changed), this::began, new Joins());
        turnUs = nowUs;
        if (member != null) {
            member.restore();
        }
    }

    /** Letters of voters that join. */
    private final class Joins implements RaftMember.Outbox {
        @Override
        public void join(int to, long disk, boolean empty) {
            post.send(to, new Letter.Join(place.self(), disk, empty));
        }

        @Override
        public void joined(int to, long disk, boolean group, boolean votes) {
            post.send(to, new Letter.Joined(place.self(), disk, group, votes));
        }
    }

    /** Whether this voter leads. */
    public boolean leads() {
        return member != null && member.leads();
    }

    /** What holds here. */
    public View view() {
        return leases.view();
    }

    private RaftReplica<RegisterMachine> voter() {
        return member == null ? null : member.replica();
    }

    private void began(RaftReplica<RegisterMachine> voter) {
        leading = new Leading(place.self(), place.terms(), voter, library, post, meaning.binding(), turnUs);
    }

    private void changed(Register register) {
        library.add(register.policy());
        if (register.pending() != null) {
            library.add(register.pending());
        }
        if (leading != null) {
            leading.changed();
        }
    }

    @Override
    public void on(Mail mail, long nowUs) {
        turnUs = nowUs;
        agenda.run(nowUs);
        if (mail instanceof Mail.Arrived arrived) {
            arrived(arrived.letter(), nowUs);
        } else if (mail instanceof Mail.Wanted want) {
            if (wanted.size() >= MOST_WANTED) {
                want.done().accept(null, 0L);
            } else {
                wanted.put(++calls, want);
                handInAtUs = nowUs;
            }
        }
        agenda.run(nowUs);
    }

    private void arrived(Letter letter, long nowUs) {
        if (letter instanceof Letter.Grant grant) {
            leases.granted(grant, nowUs);
        } else if (letter instanceof Letter.Elsewhere elsewhere) {
            leases.elsewhere(elsewhere, nowUs);
        } else if (letter instanceof Letter.Part part) {
            leases.part(part, nowUs);
        } else if (letter instanceof Letter.PartAsk ask) {
            give(ask);
        } else if (letter instanceof Letter.Submitted done) {
            settled(done);
        } else if (letter instanceof Letter.Joined joined) {
            joined(joined);
        } else if (letter instanceof Letter.Join join && member != null) {
            member.onJoin(join.from(), join.disk(), join.empty());
        } else if (voter() != null) {
            atVoter(letter, nowUs);
        }
    }

    private void atVoter(Letter letter, long nowUs) {
        if (letter instanceof Letter.Raft raft && raft.disk() == voter().self().disk()) {
            voter().handle(raft.message(), nowUs);
        } else if (letter instanceof Letter.Ask ask) {
            leading.asked(ask);
        } else if (letter instanceof Letter.Submit submit) {
            leading.submitted(submit);
        }
    }

    private void give(Letter.PartAsk ask) {
        Document document = library.get(ask.digest());
        if (document == null && voter() != null) {
            document = voter().machine().register().document(ask.digest());
        }
        Document own = document != null ? document : wanted.values().stream().map(Mail.Wanted::policy)
                .filter(each -> each != null && each.digest().equals(ask.digest())).findFirst().orElse(null);
        if (own != null && ask.number() >= 0 && ask.number() < own.parts().size()) {
            post.send(ask.from(), new Letter.Part(place.self(), ask.digest(), ask.number(), own.parts().size(),
                    own.parts().get(ask.number())));
        }
    }

    private void settled(Letter.Submitted done) {
        if (done.taken() != Taken.UNKNOWN) {
            Mail.Wanted want = wanted.remove(done.call());
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
            wanted.forEach((call, want) -> post.send(leases.leader(), new Letter.Submit(place.self(), call,
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

    private void joined(Letter.Joined joined) {
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
