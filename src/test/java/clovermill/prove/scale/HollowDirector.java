package clovermill.prove.scale;

import clovermill.config.Config;
import clovermill.config.settings.SettingsFile;
import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.discovery.DiscoveryEvents;
import clovermill.controlplane.discovery.DiscoverySettings;
import clovermill.controlplane.gossip.GossipService;
import clovermill.controlplane.gossip.GossipSettings;
import clovermill.controlplane.placement.Placement;
import clovermill.controlplane.policystore.PolicyStore;
import clovermill.controlplane.policystore.PolicyStoreSettings;
import clovermill.controlplane.policystore.PolicyRules;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.BiConsumer;

/**
 * A director without clients: the control plane on an event loop with its own thread, wired as in {@code
 * director.Assembly}, with an individual clock offset. Events and policies are not applied to a router and its members;
 * the observer is notified instead. It runs until its process exits.
 */
final class HollowDirector {

    static final String LOOP_THREAD = "hollow-";
    /** Directors of a process start at different times within an interval, like those of different machines. */
    private static final long STAGGER_US = 1_000_000;

    /** A listener that is notified, on the director's loop, of events and policies that take effect there. */
    interface Observer {
        void event(int director, String id);

        void policy(int director, PolicyView view);
    }

    private static final class OffsetClock implements Clock {
        private final Clock system = Clock.system();
        private final long offsetUs;

        OffsetClock(long offsetUs) {
            this.offsetUs = offsetUs;
        }

        @Override
        public long micros() {
            return system.micros() + offsetUs;
        }

        @Override
        public long unixMillis() {
            return system.unixMillis() + offsetUs / 1000;
        }
    }

    private final EventLoop loop;
    private final GossipService fleet;
    private final PolicyStore accord;
    private final Thread thread;

    /** Starts the director; {@code stagger}, from 0 to 1, is its start time within the first second. */
    HollowDirector(int number, Path settings, Config config, long clockOffsetUs, double stagger, Observer observer)
            throws Exception {
        Clock clock = new OffsetClock(clockOffsetUs);
        Deadlines deadlines = new Deadlines();
        loop = new EventLoop(clock, deadlines);
        SettingsFile file = SettingsFile.read(settings.toString());
        fleet = new GossipService(file.part("fleet", GossipSettings.class).orElseThrow(), config.classes(),
                config.settings().answerSlackUs(), clock, deadlines, null);
        PolicyStoreSettings policySettings = file.part("accord", PolicyStoreSettings.class).orElseThrow();
        Placement placement = new Placement(clock, config.settings(), config.zones(), config.classes(),
                policySettings.rejectsAllWithoutLease(), null);
        PolicyRules rules = new PolicyRules(document -> placement.rejection(document.text()).orElse(null),
                (one, other) -> placement.sameWithoutLease(one.text(), other.text()));
        accord = new PolicyStore(policySettings, rules, clock, loop::post, view -> observer.policy(number, view));
        DiscoveryEvents known = DiscoveryEventParser.parse(config.initialEvents(), config.zones(), config.kinds());
        DiscoveryClient channel = new DiscoveryClient(loop, clock, deadlines, config.channel(),
                new DiscoverySettings(config.zones(), config.kinds(), config.settings().dialTimeoutUs(),
                        Math.min(config.settings().drainGraceUs(), config.settings().purgeNoticeUs())),
                known.cursor(), events -> {});
        deadlines.add(clock.micros() + (long) (stagger * STAGGER_US), () -> {
            channel.start();
            accord.start();
            fleet.open(loop, (id, disabled) -> observer.event(number, id));
        });
        thread = new Thread(this::run, LOOP_THREAD + number);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            loop.run();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Publishes an event at this director for delivery to all others. */
    void publish(String id) {
        loop.post(() -> fleet.replicateOutage(id, true));
    }

    /** Proposes a policy at this director, like an operator. */
    void propose(long follows, String policy, BiConsumer<ProposalResult, Long> done) {
        accord.requestChange(follows, PolicyDocument.of(policy), done);
    }
}
