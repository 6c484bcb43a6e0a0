package clovermill.simulation.emulator;

import clovermill.routing.api.ColdRule;
import clovermill.routing.api.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache whose link its transfers share: so many of them run at full pace, more are slowed alike. It keeps what was
 * asked for last, starts cold by a straight line, and falls over where it is sent too much while cold.
 */
public final class EmulatedCache {

    /** Held requests beyond which it turns work away, in multiples of its room. */
    private static final double FULL = 5;
    /** Slack of the budget for chance, in mean requests: what the last one overdraws. */
    private static final double SLACK = 2;

    /** A transfer that is out here. */
    public static final class Transfer {
        public final Runnable done;
        final boolean fill;
        double leftUs;
        double waitUs;

        public Transfer(Runnable done, boolean fill, double workUs, double waitUs) {
            this.done = done;
            this.fill = fill;
            this.leftUs = workUs;
            this.waitUs = waitUs;
        }
    }

    private record Report(long visibleUs, LoadReport load) {}

    private record Sent(long atUs, double workUs) {}

    public final String id;
    public final double toldRoom;
    public final long startedUs;
    final double phase;
    private final double room;
    private final ColdRule rule;
    private final Map<Long, Boolean> kept;
    private final Deque<Report> reports = new ArrayDeque<>();
    private final Deque<Sent> sent = new ArrayDeque<>();
    /** What is out here now. */
    public final List<Transfer> open = new ArrayList<>();
    private LoadReport visible;
    public double pace = 1;
    boolean mute;
    public boolean leaves;
    boolean fallen;
    int flowingFills;
    private double heldTime;

    /**
     * A cache of so much told and true room, in transfers; started at 0 long ago, so that it is warm.
     */
    public EmulatedCache(String id, double toldRoom, double room, long startedUs, double phase, int keeps,
            ColdRule rule) {
        this.id = id;
        this.toldRoom = toldRoom;
        this.room = room;
        this.startedUs = startedUs;
        this.phase = phase;
        this.rule = rule;
        this.kept = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > keeps;
            }
        };
    }

    /** The part of its capacity that it can give. */
    public double part(long now) {
        return startedUs == 0 ? 1 : Math.min(1, rule.from() + (1 - rule.from()) * (now - startedUs) / rule.warmUs());
    }

    public boolean cold(long now) {
        return part(now) < 1;
    }

    /** Transfers that run at full pace now. */
    public double roomNow(long now) {
        return room * pace * part(now);
    }

    public boolean full() {
        return open.size() >= FULL * room;
    }

    /** Whether it holds an object, which counts as a use; a miss is kept from then on where that is asked for. */
    public boolean look(long object, boolean keep) {
        boolean hit = kept.get(object) != null;
        if (!hit && keep) {
            kept.put(object, true);
        }
        return hit;
    }

    /** Counts work that arrives while it is cold; true if that pushes it over, once. */
    public boolean pushedOver(long now, double workUs) {
        if (!cold(now) || fallen) {
            return false;
        }
        sent.add(new Sent(now, workUs));
        while (sent.peek().atUs <= now - rule.windowUs()) {
            sent.poll();
        }
        double work = sent.stream().mapToDouble(each -> each.workUs).sum() - SLACK * workUs;
        double meanPart = (part(now) + Math.max(rule.from(), part(Math.max(startedUs, now - rule.windowUs())))) / 2;
        fallen = work > rule.multiple() * room * meanPart * rule.windowUs();
        return fallen;
    }

    /**
     * Lets its transfers go on for a step, fills at no more than the pace of the link; returns those that are done.
     * What it held is added up for the mean over time.
     */
    public List<Transfer> step(long now, long stepUs, double link) {
        double share = Math.min(1, roomNow(now) / Math.max(1, open.size()));
        List<Transfer> done = new ArrayList<>();
        flowingFills = 0;
        for (Transfer transfer : open) {
            heldTime += stepUs;
            if (transfer.waitUs > 0) {
                transfer.waitUs -= stepUs;
            } else {
                transfer.leftUs -= stepUs * (transfer.fill ? Math.min(share, link) : share);
                flowingFills += transfer.fill ? 1 : 0;
            }
            if (transfer.leftUs <= 0) {
                done.add(transfer);
            }
        }
        open.removeAll(done);
        return done;
    }

    /** The mean load over a time, over its present room; starts the next mean. */
    public double load(long now, double spanUs) {
        double load = heldTime / spanUs / roomNow(now);
        heldTime = 0;
        return load;
    }

    /** Makes a report, which is seen after the delay. */
    public void report(long now, long delayUs, double noise, double linkUse) {
        double held = Math.max(0, open.size() * (1 + noise));
        reports.add(new Report(now + delayUs, new LoadReport(held * pace, Math.min(1, held / room), linkUse)));
    }

    /** What an answer carries; null before the first report. */
    public LoadReport seen(long now, boolean frozen) {
        while (!frozen && !reports.isEmpty() && reports.peek().visibleUs <= now) {
            visible = reports.poll().load;
        }
        return mute ? null : visible;
    }
}
