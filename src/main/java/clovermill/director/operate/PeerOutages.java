package clovermill.director.operate;

import clovermill.channel.Roster;
import clovermill.fleet.Fleet;
import clovermill.net.Clock;
import clovermill.outage.OutageMarks;
import java.util.function.BiConsumer;

/** Applies the outages of caches that operators set at peer directors. */
public record PeerOutages(Roster roster, OutageMarks marks, Clock clock) implements BiConsumer<String, Boolean> {

    /** Outage marks for the other processes of this director that are also replicated to its peers. */
    public record ReplicatedMarks(OutageMarks marks, Fleet fleet) implements OutageMarks {
        @Override
        public void takeOut(String id) {
            marks.takeOut(id);
            fleet.putOutage(id, true);
        }

        @Override
        public void putBack(String id, long stampMs) {
            marks.putBack(id, stampMs);
            fleet.putOutage(id, false);
        }
    }

    @Override
    public void accept(String id, Boolean out) {
        if (out && !roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        } else if (!out && roster.isOut(id)) {
            long stampMs = clock.unixMillis();
            marks.putBack(id, stampMs);
            roster.putBack(id, stampMs);
        }
    }
}
