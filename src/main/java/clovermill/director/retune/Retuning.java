package clovermill.director.retune;

import clovermill.CacheRouter.Settings;
import clovermill.channel.CommandChannel;
import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.front.FrameFront;
import clovermill.host.Host;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.reload.decide.Classes;
import java.lang.System.Logger.Level;
import java.util.Objects;

/** Hands a new configuration to the parts that it concerns, while requests are in flight. */
public final class Retuning {

    private static final System.Logger LOG = System.getLogger(Retuning.class.getName());

    private final Clock clock;
    private final Deadlines deadlines;
    private final Host host;
    private final FrameFront front;
    private final CommandChannel channel;
    private final Classes classes;
    private Config inForce;
    private Settings told;
    private Deadlines.Deadline settling;

    public Retuning(Config start, Clock clock, Deadlines deadlines, Host host, FrameFront front,
            CommandChannel channel) {
        this.inForce = start;
        this.told = start.settings();
        this.clock = clock;
        this.deadlines = deadlines;
        this.host = host;
        this.front = front;
        this.channel = channel;
        this.classes = new Classes(start.classes(), told.classes(), told.allowed().maxAttempts());
    }

    /**
     * Takes a configuration that can be used.
     *
     * @throws Json.Malformed if it has more classes than there are numbers; nothing of it is taken then
     */
    public void take(Config next) throws Json.Malformed {
        if (!classes.hasRoomFor(next.classes())) {
            throw new Json.Malformed("settings.request-classes: more names than one process can tell apart");
        }
        channel.move(next.channel());
        if (!next.listen().equals(inForce.listen()) || next.sockets() != inForce.sockets()
                || !Objects.equals(next.admin(), inForce.admin())) {
            LOG.log(Level.WARNING, "listen, admin and limits change at this director's next start only");
        }
        if (next.settings().equals(inForce.settings()) && next.classes().equals(inForce.classes())) {
            return;
        }
        boolean samePlace = next.zones().equals(inForce.zones()) && next.kinds().equals(inForce.kinds())
                && next.settings().zone() == told.zone() && next.settings().position() == told.position();
        if (!samePlace) {
            LOG.log(Level.WARNING, "zones, kinds and this director's place change at its next start only");
        }
        told = samePlace ? next.settings() : told.with(told.classes(), next.settings().allowed());
        inForce = next;
        classes.change(next.classes(), next.settings().classes(), next.settings().allowed().maxAttempts());
        tell();
        deadlines.cancel(settling);
        settling = deadlines.add(clock.micros() + Classes.OVERLAP_US, () -> {
            classes.settle();
            tell();
        });
        LOG.log(Level.INFO, "new settings are in force, with the classes {0}", next.classes());
    }

    private void tell() {
        Settings settings = told.with(classes.terms(), classes.bounded(told.allowed()));
        host.retune(settings);
        front.retune(classes.taken(), settings);
    }

    /** The longest deadline of a request under the configuration in force, in microseconds. */
    public long longestUs() {
        return classes.longestDeadlineUs();
    }
}
