package clovermill.controlplane.eventlog.decide;

import clovermill.controlplane.eventlog.decide.EventLogMessage.Batch;
import clovermill.controlplane.eventlog.decide.EventLogMessage.Follow;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A director's position in the log: follows one replica, applies each range in order and once, and goes over to another
 * replica when the one followed is silent or cannot prove its log. As the position is a number of the log and not of a
 * connection, a change of replica leaves no gap and repeats nothing. Not thread-safe.
 */
public final class Follower {

    /** A message for a replica. */
    public record Request(int replica, Follow follow) {}

    /** What happened, since the start. */
    public record Counts(long applied, long gaps, long repeated, long failovers, long clears) {}

    private final EventLogTiming terms;
    private final long boot;
    /** The replicas in the order in which they are tried, the own one first; drawn for each director. */
    private final List<Integer> order;
    private final FreshnessLease freshness;
    private final long homeUs;
    private int at;
    private long question;
    private long logId;
    private long position;
    private long heardUs;
    private long followedSinceUs;
    private long askAtUs;
    private boolean acknowledge;
    private long gaps;
    private long repeated;
    private long failovers;
    private long applied;
    private long clears;

    /**
     * A follower that knows nothing yet.
     *
     * @param replicas all replicas by number; the one at {@code self} modulo their count is followed first
     * @param boot a random number for this start of the process
     */
    public Follower(EventLogTiming terms, int self, List<Integer> replicas, long boot, Random random, long nowUs) {
        this.terms = terms;
        this.boot = boot;
        this.freshness = new FreshnessLease(terms);
        List<Integer> others = new ArrayList<>(replicas);
        Integer home = others.remove(self % replicas.size());
        Collections.shuffle(others, random);
        others.add(0, home);
        this.order = List.copyOf(others);
        this.homeUs = (long) (terms.homeUs() * (0.75 + 0.5 * random.nextDouble()));
        this.heardUs = nowUs;
        this.followedSinceUs = nowUs;
        this.askAtUs = nowUs;
    }

    /** The replica that it follows. */
    public int replica() {
        return order.get(at);
    }

    /** All up to this sequence number has been applied. */
    public long position() {
        return position;
    }

    /** Since when all events are known. */
    public FreshnessLease freshness() {
        return freshness;
    }

    /** What happened so far. */
    public Counts counts() {
        return new Counts(applied, gaps, repeated, failovers, clears);
    }

    /**
     * Takes a batch and gives what it brings, in order. Whoever sent it, it counts, as all replicas hold one log; one
     * for another start of this director does not.
     */
    public List<Delivery> on(int from, Batch batch, long nowUs) {
        if (batch.boot() != boot || batch.logId() == 0) {
            return List.of();
        }
        List<Delivery> deliveries = new ArrayList<>();
        if (batch.logId() != logId) {
            begin(batch.logId(), deliveries);
        }
        if (from == replica()) {
            heardUs = nowUs;
        }
        take(batch.slice(), deliveries);
        freshness.answered(batch.question(), batch.provenHead(), batch.proofAgeUs(), nowUs);
        freshness.applied(position);
        return deliveries;
    }

    private void begin(long id, List<Delivery> deliveries) {
        if (logId != 0) {
            deliveries.add(new Delivery.LogReplaced(id));
            freshness.reset();
        }
        logId = id;
        position = 0;
    }

    private void take(LogRange slice, List<Delivery> deliveries) {
        if (slice.from() > position) {
            gaps++;
            acknowledge = true; // the replica sends again from the position acknowledged
            return;
        }
        if (slice.to() <= position) {
            repeated += slice.entries().size();
            acknowledge |= slice.to() > slice.from();
            return;
        }
        if (slice.clear() != null && slice.clear().sequence() > position) {
            deliveries.add(new Delivery.Truncated(slice.clear()));
            clears++;
        }
        for (Entry entry : slice.entries()) {
            if (entry.sequence() > position) {
                deliveries.add(new Delivery.Applied(entry));
                applied++;
            }
        }
        position = slice.to();
        freshness.incompleteUntil(slice.completeAt());
        acknowledge = true;
    }

    /** What is to be sent now, or null. */
    public Request tick(long nowUs) {
        choose(nowUs);
        if (nowUs >= askAtUs) {
            askAtUs = nowUs + terms.heartbeatUs();
            return request(true, nowUs);
        }
        return acknowledge ? request(false, nowUs) : null;
    }

    /** When {@link #tick} is to be called again. */
    public long nextUs(long nowUs) {
        return acknowledge ? nowUs : Math.min(askAtUs, heardUs + terms.silentUs());
    }

    private Request request(boolean wantsAnswer, long nowUs) {
        acknowledge = false;
        freshness.asked(++question, nowUs);
        return new Request(replica(), new Follow(boot, question, logId, position, wantsAnswer));
    }

    private void choose(long nowUs) {
        boolean silent = nowUs - heardUs >= terms.silentUs();
        boolean settled = nowUs - followedSinceUs >= terms.silentUs();
        boolean unproven = settled && nowUs - freshness.replicaAsOfUs() > terms.stalenessUs() / 2;
        if (silent || unproven) {
            failovers++;
            follow((at + 1) % order.size(), nowUs);
        } else if (at != 0 && nowUs - followedSinceUs >= homeUs) {
            follow(0, nowUs);
        }
    }

    private void follow(int next, long nowUs) {
        at = next;
        heardUs = nowUs;
        followedSinceUs = nowUs;
        askAtUs = nowUs;
    }
}
