package clovermill.director.operate;

import clovermill.admin.decide.Desk;
import clovermill.channel.Roster;
import clovermill.front.Front;
import clovermill.net.Clock;
import clovermill.outage.OutageMarks;

/**
 * What operators can have done. A call to one process counts for its whole director: what the other one was told before
 * is taken over first, and what changes is marked before the answer.
 */
public record Operations(Roster roster, Front front, Clock clock, OutageMarks marks, Runnable catchUp)
        implements Desk.Director {

    @Override
    public boolean ready() {
        return front.ready();
    }

    @Override
    public boolean takeOut(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return false;
        }
        if (!roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        }
        return true;
    }

    @Override
    public boolean putBack(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return false;
        }
        if (roster.isOut(id)) {
            long stampMs = clock.unixMillis();
            marks.putBack(id, stampMs);
            roster.putBack(id, stampMs);
        }
        return true;
    }
}
