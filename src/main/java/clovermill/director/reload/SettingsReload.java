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
 * Applies a new configuration to the affected parts of a running director while requests are open. Changed request
 * classes overlap with the old ones for {@link RequestClassRegistry#OVERLAP_US}. Confined to the loop's thread.
 */
public final class SettingsReload {

    private static final System.Logger LOG = System.getLogger(SettingsReload.class.getName());

    private final Clock clock;
    private final Deadlines deadlines;
    private final ProxyCore core;
    private final FrameServer server;
    private final DiscoveryClient discovery;
    private final RequestClassRegistry classes;
    private Config current;
    /** The settings in force except the request classes and the attempt limit, which {@link #classes} holds. */
    private Settings baseSettings;
    private Deadlines.Deadline overlapEnd;

    /** Creates a reload whose {@code initial} configuration is the one that all parts were started with. */
    public SettingsReload(Config initial, Clock clock, Deadlines deadlines, ProxyCore core, FrameServer server,
            DiscoveryClient discovery) {
        this.current = initial;
        this.baseSettings = initial.settings();
        this.clock = clock;
        this.deadlines = deadlines;
        this.core = core;
        this.server = server;
        this.discovery = discovery;
        this.classes = new RequestClassRegistry(initial.classes(), baseSettings.classes(),
                baseSettings.capabilities().maxAttempts());
    }

    /**
     * Applies a configuration that was checked against the current one.
     *
     * @throws Json.Malformed if it has more new classes than there are free class numbers; nothing is applied then
     */
    public void apply(Config next) throws Json.Malformed {
        if (!classes.hasNumbersFor(next.classes())) {
            throw new Json.Malformed("settings.request-classes: more names than one process can tell apart");
        }
        discovery.reconnectTo(next.channel());
        warnOfStartOnlyChanges(next);
        if (next.settings().equals(current.settings()) && next.classes().equals(current.classes())) {
            return;
        }
        baseSettings = nextBaseSettings(next);
        current = next;
        classes.beginChange(next.classes(), next.settings().classes(), next.settings().capabilities().maxAttempts());
        applySettings();
        deadlines.cancel(overlapEnd);
        overlapEnd = deadlines.add(clock.micros() + RequestClassRegistry.OVERLAP_US, this::endOverlap);
        LOG.log(Level.INFO, "new settings are in force, with the classes {0}", next.classes());
    }

    private void warnOfStartOnlyChanges(Config next) {
        if (!next.listen().equals(current.listen()) || next.sockets() != current.sockets()
                || !Objects.equals(next.admin(), current.admin())) {
            LOG.log(Level.WARNING, "changes of listen, admin and limits take effect at this director's next start");
        }
    }

    /**
     * Returns the next settings, or only their host capabilities if zones, kinds or this director's position differ.
     */
    private Settings nextBaseSettings(Config next) {
        boolean samePosition = next.zones().equals(current.zones()) && next.kinds().equals(current.kinds())
                && next.settings().zone() == baseSettings.zone()
                && next.settings().directorIndex() == baseSettings.directorIndex();
        if (samePosition) {
            return next.settings();
        }
        LOG.log(Level.WARNING, "changes of zones, kinds and this director's position take effect at its next start");
        return baseSettings.with(baseSettings.classes(), next.settings().capabilities());
    }

    private void endOverlap() {
        classes.completeChange();
        applySettings();
    }

    private void applySettings() {
        Settings settings = baseSettings.with(classes.requestClasses(),
                classes.withMaxAttempts(baseSettings.capabilities()));
        core.reload(settings);
        server.reload(classes.acceptedNames(), settings);
    }

    /** Returns the longest deadline of a request under the current configuration, in microseconds. */
    public long longestDeadlineUs() {
        return classes.longestDeadlineUs();
    }
}
