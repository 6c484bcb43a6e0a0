package clovermill;

import clovermill.admin.decide.Desk;
import clovermill.channel.Roster;
import clovermill.front.Front;
import clovermill.net.Clock;
import clovermill.outage.OutageMarks;

/** What operators can have done. A call to one process counts for its whole director: it is marked first. */
record Operations(Roster roster, Front front, Clock clock, OutageMarks marks) implements Desk.Director {

    @Override
    public boolean ready() {
        return front.ready();
    }

    @Override
    public boolean takeOut(String id) {
        boolean known = roster.knows(id);
        if (known) {
            marks.takeOut(id);
            roster.takeOut(id);
        }
        return known;
    }

    @Override
    public boolean putBack(String id) {
        boolean known = roster.knows(id);
        if (known) {
            marks.putBack(id, clock.unixMillis());
            roster.putBack(id);
        }
        return known;
    }
}
