package clovermill;

import clovermill.admin.decide.Desk;
import clovermill.channel.Roster;
import clovermill.front.Front;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.outage.OutageFolder;

/**
 * What operators can have done. Where the processes of one director share a folder a call to any of them counts for
 * all: it is marked there before it is answered, and each looks at the marks a few times a second.
 */
final class Operations implements Desk.Director {

    /** A fifth of the time in which nothing more may go to a cache that was taken out at the other process. */
    private static final long LOOK_US = 100_000;

    private final Roster roster;
    private final Front front;
    private final Clock clock;
    private final Deadlines deadlines;
    private final OutageFolder folder;

    /** {@code folder} is null where there is but one process. */
    Operations(Roster roster, Front front, Clock clock, Deadlines deadlines, OutageFolder folder) {
        this.roster = roster;
        this.front = front;
        this.clock = clock;
        this.deadlines = deadlines;
        this.folder = folder;
    }

    /** Takes over what an earlier process left, and from then on what the other one marks. */
    void look() {
        if (folder != null) {
            OutageFolder.Marks marks = folder.look();
            if (marks != null) {
                roster.outages(marks.out(), marks.back());
            }
            deadlines.add(clock.micros() + LOOK_US, this::look);
        }
    }

    @Override
    public boolean ready() {
        return front.ready();
    }

    @Override
    public boolean takeOut(String id) {
        if (!roster.knows(id)) {
            return false;
        }
        if (folder != null) {
            folder.takeOut(id);
        }
        roster.takeOut(id);
        return true;
    }

    @Override
    public boolean putBack(String id) {
        if (!roster.knows(id)) {
            return false;
        }
        if (folder != null) {
            folder.putBack(id, clock.unixMillis());
        }
        roster.putBack(id);
        return true;
    }
}
