package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.LeaseHolder;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A director's part: asks the leader for leases, gets the texts that a step names, checks them, and tells what holds.
 */
final class Leases {

    /** A leader that has not answered for so many questions is looked for elsewhere. */
    private static final int PATIENCE = 2;
    private static final int PARTS_AT_ONCE = 16;
    /** Questions leave no faster than this, however often the leader calls for one. */
    private static final long LEAST_GAP_US = 20_000;

    private final int self;
    private final long boot;
    private final List<Integer> voters;
    private final LeaseTiming terms;
    private final MessageTransport post;
    private final Function<PolicyDocument, String> check;
    private final Consumer<PolicyView> views;
    private final PolicyVersions library;
    private LeaseHolder holder = LeaseHolder.EMPTY;
    private PolicyView view = PolicyView.NONE;
    private PolicyMessage.Grant latest;
    private String no;
    private long lastUs = Long.MIN_VALUE / 2;
    private long askAtUs;
    private long partsAtUs;
    private long question;
    private int leader;
    private int unanswered;

    /** {@code check} says why a policy cannot be kept here, or null. */
    Leases(int self, long boot, List<Integer> voters, LeaseTiming terms, PolicyVersions library, MessageTransport post,
            Function<PolicyDocument, String> check, Consumer<PolicyView> views) {
        this.self = self;
        this.boot = boot;
        this.voters = voters;
        this.terms = terms;
        this.library = library;
        this.post = post;
        this.check = check;
        this.views = views;
        this.leader = voters.get(self % voters.size());
    }

    int leader() {
        return leader;
    }

    PolicyView view() {
        return view;
    }

    /** Asks if it is time; returns when that is next. */
    long tick(long nowUs) {
        if (nowUs < lastUs) { // a clock that runs back would make the lease longer
            holder = LeaseHolder.EMPTY;
            publish();
        }
        lastUs = nowUs;
        if (nowUs >= askAtUs) {
            ask(nowUs);
        }
        if (latest != null && nowUs >= partsAtUs) {
            fetch(nowUs);
        }
        return latest == null ? askAtUs : Math.min(askAtUs, partsAtUs);
    }

    private void ask(long nowUs) {
        if (++unanswered > PATIENCE) {
            leader = voters.get((voters.indexOf(leader) + 1) % voters.size());
        }
        holder = holder.asks(++question, nowUs);
        post.send(leader, new PolicyMessage.Ask(self, boot, question, holder.step() == null ? PolicyTransition.NONE
                : holder.step().number(), holder.refused(), no));
        // While no leader is known the questions go round quickly.
        askAtUs = nowUs + (unanswered > PATIENCE ? terms.askUs() / 4 : terms.askUs());
    }

    /** The leader is another, or calls for a question. */
    void elsewhere(PolicyMessage.Elsewhere letter, long nowUs) {
        boolean calls = letter.leader() == letter.from();
        if (letter.leader() >= 0 && voters.contains(letter.leader()) && (calls || letter.leader() != leader)) {
            leader = letter.leader();
            unanswered = 0;
            askAtUs = Math.min(askAtUs, nowUs + LEAST_GAP_US);
        }
    }

    /** An answer has come. */
    void granted(PolicyMessage.Grant grant, long nowUs) {
        if (grant.boot() != boot || !holder.awaits(grant.question(), grant.step())) {
            return;
        }
        unanswered = 0;
        leader = grant.from();
        latest = grant;
        fetch(nowUs);
    }

    /** A part of a text has come. */
    void part(PolicyMessage.Part part, long nowUs) {
        library.part(part.digest(), part.number(), part.text());
        if (latest != null) {
            take(nowUs);
        }
    }

    private void fetch(long nowUs) {
        partsAtUs = nowUs + terms.askUs() / 4;
        for (String digest : List.of(latest.policy(), latest.next())) {
            int parts = digest.equals(latest.policy()) ? latest.policyParts() : latest.nextParts();
            for (int number : library.wanted(digest, parts, PARTS_AT_ONCE)) {
                post.send(leader, new PolicyMessage.PartAsk(self, digest, number));
            }
        }
        take(nowUs);
    }

    /** Takes the latest answer, if all that it names is here. */
    private void take(long nowUs) {
        PolicyTransition step = latest.step();
        PolicyDocument policy = library.get(latest.policy());
        PolicyDocument next = step.both() ? library.get(latest.next()) : null;
        if (policy == null || step.both() && next == null) {
            return;
        }
        PolicyMessage.Grant grant = latest;
        latest = null;
        boolean other = holder.step() == null || holder.step().number() != step.number();
        no = other && step.both() ? check.apply(next) : null;
        if (no != null) {
            holder = holder.refuses(step);
        } else {
            holder = holder.granted(grant.question(), step, terms);
            if (other) {
                library.keep(step.both() ? List.of(grant.policy(), grant.next()) : List.of(grant.policy()));
            }
            view = new PolicyView(step, policy, next, holder.untilUs(), grant.missing(), grant.leftUs(),
                    grant.lastReason());
            publish();
        }
        if (other) {
            askAtUs = Math.min(askAtUs, nowUs); // confirms the step, or says no, at once
        }
    }

    private void publish() {
        view = new PolicyView(holder.step(), view.policy(), view.next(), holder.untilUs(), view.missing(),
                view.leftUs(),
                view.lastReason());
        views.accept(view);
    }
}
