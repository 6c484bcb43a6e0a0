package clovermill.director.reload;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.reload.decide.RequestClassRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.server.FrameServer;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.lang.System.Logger.Level;
import java.util.Objects;

/**
 * Applies a new configuration to the parts that it concerns, while requests are open. Changed request classes overlap
 * with the old ones for {@link RequestClassRegistry#OVERLAP_US}. On the loop's thread.
 */
public final class SettingsReload {

    private static final System.Logger LOG = System.getLogger(SettingsReload.class.getName());

    private final Clock clock;
    private final Deadlines deadlines;
    private final ProxyCore core;
    private final FrameServer server;
    private final DiscoveryClient discovery;
    private final RequestClassRegistry classes;
    private Config inForce;
    /** The settings in force, but for the request classes and attempts, which {@link #classes} has. */
    private Settings baseSettings;
    private Deadlines.Deadline overlapEnd;

    /** {@code start} is the configuration that all parts were started with. */
    public SettingsReload(Config start, Clock clock, Deadlines deadlines, ProxyCore core, FrameServer server,
            DiscoveryClient discovery) {
        this.inForce = start;
        this.baseSettings = start.settings();
        this.clock = clock;
        this.deadlines = deadlines;
        this.core = core;
        this.server = server;
        this.discovery = discovery;
        this.classes = new RequestClassRegistry(start.classes(), baseSettings.classes(),
                baseSettings.allowed().maxAttempts());
    }

    /**
     * Applies a configuration that was checked against the one in force.
     *
     * @throws Json.Malformed if it has more new classes than there are numbers; nothing of it is applied then
     */
    public void apply(Config next) throws Json.Malformed {
        if (!classes.hasNumbersFor(next.classes())) {
            throw new Json.Malformed("settings.request-classes: more names than one process can tell apart");
        }
        discovery.reconnectTo(next.channel());
        warnOfStartOnlyChanges(next);
        if (next.settings().equals(inForce.settings()) && next.classes().equals(inForce.classes())) {
            return;
        }
        baseSettings = nextBaseSettings(next);
        inForce = next;
        classes.beginChange(next.classes(), next.settings().classes(), next.settings().allowed().maxAttempts());
        applySettings();
        deadlines.cancel(overlapEnd);
        overlapEnd = deadlines.add(clock.micros() + RequestClassRegistry.OVERLAP_US, this::endOverlap);
        LOG.log(Level.INFO, "new settings are in force, with the classes {0}", next.classes());
    }

    private void warnOfStartOnlyChanges(Config next) {
        if (!next.listen().equals(inForce.listen()) || next.sockets() != inForce.sockets()
                || !Objects.equals(next.admin(), inForce.admin())) {
            LOG.log(Level.WARNING, "listen, admin and limits change at this director's next start only");
        }
    }

    /** All of the next settings, or only what they allow if zones, kinds or this director's place differ. */
    private Settings nextBaseSettings(Config next) {
        boolean samePlace = next.zones().equals(inForce.zones()) && next.kinds().equals(inForce.kinds())
                && next.settings().zone() == baseSettings.zone()
                && next.settings().position() == baseSettings.position();
        if (samePlace) {
            return next.settings();
        }
        LOG.log(Level.WARNING, "zones, kinds and this director's place change at its next start only");
        return baseSettings.with(baseSettings.classes(), next.settings().allowed());
    }

    private void endOverlap() {
        classes.completeChange();
        applySettings();
    }

    private void applySettings() {
        Settings settings = baseSettings.with(classes.requestClasses(),
                classes.withMaxAttempts(baseSettings.allowed()));
        core.reload(settings);
        server.reload(classes.acceptedNames(), settings);
    }

    /** The longest deadline of a request under the configuration in force, in microseconds. */
    public long longestDeadlineUs() {
        return classes.longestDeadlineUs();
    }
}
