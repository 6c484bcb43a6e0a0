package clovermill.director.operate;

import clovermill.channel.Roster;
import clovermill.fleet.Fleet;
import clovermill.net.Clock;
import clovermill.outage.OutageMarks;
import java.util.function.BiConsumer;

/** Carries out what fellow directors' operators had done to caches. */
public record Fellows(Roster roster, OutageMarks marks, Clock clock) implements BiConsumer<String, Boolean> {

    /** Marks what operators do here for other processes of this director, and tells the fellows. */
    public record Telling(OutageMarks marks, Fleet fleet) implements OutageMarks {
        @Override
        public void takeOut(String id) {
            marks.takeOut(id);
            fleet.said(id, true);
        }

        @Override
        public void putBack(String id, long nowMs) {
            marks.putBack(id, nowMs);
            fleet.said(id, false);
        }
    }

    @Override
    public void accept(String id, Boolean out) {
        if (out && !roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        } else if (!out && roster.isOut(id)) {
            marks.putBack(id, clock.unixMillis());
            roster.putBack(id);
        }
    }
}
