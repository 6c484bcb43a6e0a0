package clovermill.module;

import clovermill.CacheRouter.Action;
import clovermill.CacheRouter.Settings;
import clovermill.memory.ClassServiceTimes;
import clovermill.memory.DecayingAverage;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What the parts of the module share: settings, the time of the event, where actions go, chance, and each other. */
final class RoutingContext {

    static final long NEVER = Long.MIN_VALUE / 2;
    /** A request that has no member left waits this long; a refused client is asked to, where it heeds. */
    static final long PAUSE_US = 100_000;
    /** A loaded cache hands over when its answer would take this share of the wanted time. */
    static final double HAND_OVER = 0.6;

    final SplittableRandom random;
    final ClassServiceTimes work = new ClassServiceTimes();
    final SlowStart cold = new SlowStart(this);
    final EndpointSet members = new EndpointSet(this);
    final OutlierDetector health = new OutlierDetector(this);
    final CacheContentsIndex beliefs = new CacheContentsIndex(this);
    final OriginLoadShedder sparing = new OriginLoadShedder(this, new DecayingAverage());
    final CapacityEstimator room;
    Settings settings;
    long now;
    long startedUs = NEVER;
    Consumer<Action> out;

    RoutingContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.room = new CapacityEstimator(this);
    }
}
