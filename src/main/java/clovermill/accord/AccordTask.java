package clovermill.accord;

import clovermill.accord.decide.Document;
import clovermill.accord.decide.Library;
import clovermill.accord.decide.Register;
import clovermill.accord.decide.Register.Taken;
import clovermill.accord.decide.Terms;
import clovermill.task.Task;
import io.microraft.persistence.RestoredRaftState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
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
    public record Place(int self, List<Integer> voters, Terms terms) { }

    /**
     * What the policy means to those who keep it.
     *
     * @param check why a policy cannot be kept here, or null
     * @param binding whether all that differs between two policies is refused where there is no lease
     */
    public record Meaning(Function<Document, String> check, BiPredicate<Document, Document> binding) { }

    private static final int MOST_WANTED = 16;

    private final Place place;
    private final Meaning meaning;
    private final Post post;
    private final Disk disk;
    private final Random random;
    private final Agenda agenda;
    private final Library library = new Library();
    private final Leases leases;
    private final Map<Long, Mail.Wanted> wanted = new LinkedHashMap<>();
    private final Map<Integer, Boolean> groups = new HashMap<>();
    private Voter voter;
    private Leading leading;
    private boolean admitted = true;
    private long joinAtUs;
    private long handInAtUs;
    private long calls;

    /**
     * A part that begins now.
     *
     * @param disk where a voter keeps its promises; null for who does not vote
     * @param views hears of each change of what holds here
     */
    public AccordTask(Place place, Meaning meaning, Post post, Disk disk, Random random, Consumer<View> views,
            long nowUs) {
        this.place = place;
        this.meaning = meaning;
        this.post = post;
        this.disk = disk;
        this.random = random;
        this.agenda = new Agenda(nowUs);
        library.add(Document.EMPTY);
        leases = new Leases(place.self(), random.nextLong(), place.voters(), place.terms(), library, post,
                meaning.check(), views);
        calls = random.nextLong() >>> 1;
        RestoredRaftState restored = disk == null ? null : disk.restored();
        if (restored != null) {
            begin((Seat) restored.getLocalEndpointPersistentState().getLocalEndpoint(), restored, nowUs);
        }
    }

    /** Whether this voter leads. */
    public boolean leads() {
        return voter != null && voter.leads();
    }

    /** What holds here. */
    public View view() {
        return leases.view();
    }

    private List<Seat> seats() {
        return place.voters().stream().map(director -> new Seat(director, 0)).toList();
    }

    private void begin(Seat seat, RestoredRaftState restored, long nowUs) {
        voter = new Voter(seat, seats(), restored, disk, agenda, random, (to, message) -> post.send(to.director(),
                new Letter.Raft(place.self(), to.disk(), message)), this::changed);
        leading = new Leading(place.self(), place.terms(), voter, library, post, meaning.binding(), nowUs);
        voter.start();
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
            joined(joined, nowUs);
        } else if (letter instanceof Letter.Join join && disk != null) {
            join(join);
        } else if (voter != null) {
            atVoter(letter, nowUs);
        }
    }

    private void atVoter(Letter letter, long nowUs) {
        if (letter instanceof Letter.Raft raft && raft.disk() == voter.seat().disk()) {
            voter.handle(raft.message(), nowUs);
        } else if (letter instanceof Letter.Ask ask) {
            leading.asked(ask);
        } else if (letter instanceof Letter.Submit submit) {
            leading.submitted(submit);
        }
    }

    private void give(Letter.PartAsk ask) {
        Document document = library.get(ask.digest());
        if (document == null && voter != null) {
            document = voter.register().document(ask.digest());
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
        if (disk != null && disk.failed()) {
            throw new IllegalStateException("the voter's file cannot be written");
        }
        long next = agenda.run(nowUs);
        if (voter != null && voter.stuck(nowUs)) {
            voter.stop();
            begin(voter.seat(), disk.restored(), nowUs);
        }
        if (disk != null && (voter == null || !admitted) && nowUs >= joinAtUs) {
            joinAtUs = nowUs + place.terms().askUs() / 2;
            long seat = voter == null ? 0 : voter.seat().disk();
            place.voters().stream().filter(each -> each != place.self())
                    .forEach(each -> post.send(each, new Letter.Join(place.self(), seat, voter == null)));
            found(nowUs);
        }
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
        return disk != null && (voter == null || !admitted) ? Math.min(next, joinAtUs) : next;
    }

    /** A voter that has nothing founds a group only where all others say that they have none either. */
    private void found(long nowUs) {
        Set<Integer> others = new HashSet<>(place.voters());
        others.remove(place.self());
        if (voter == null && groups.keySet().containsAll(others) && !groups.containsValue(true)) {
            begin(new Seat(place.self(), 0), null, nowUs);
        }
    }

    private void join(Letter.Join join) {
        boolean group = voter != null && voter.committed();
        boolean member = voter != null && voter.seated(new Seat(join.from(), join.disk()));
        if (!join.empty() && !member && leads()) {
            voter.admit(new Seat(join.from(), join.disk()));
        }
        post.send(join.from(), new Letter.Joined(place.self(), join.disk(), group, member));
    }

    private void joined(Letter.Joined joined, long nowUs) {
        if (disk == null) {
            return;
        }
        if (voter == null) {
            groups.put(joined.from(), joined.group());
            if (joined.group()) { // what this one promised is lost: it learns first, and votes on another seat
                disk.clear();
                begin(new Seat(place.self(), random.nextLong() >>> 1 | 1), null, nowUs);
                admitted = false;
            }
        } else if (joined.member() && joined.disk() == voter.seat().disk()) {
            admitted = true;
        }
    }

    @Override
    public void stop(long nowUs) {
        if (voter != null) {
            voter.stop();
        }
        agenda.run(nowUs);
    }
}
