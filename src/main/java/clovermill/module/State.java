package clovermill.module;

import clovermill.CacheRouter.Action;
import clovermill.CacheRouter.Settings;
import clovermill.memory.ClassMeans;
import clovermill.memory.FadingAverage;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What the parts of the module share: settings, the time of the event, where actions go, chance, and each other. */
final class State {

    static final long NEVER = Long.MIN_VALUE / 2;
    /** A request that has no member left waits this long; a refused client is asked to, where it heeds. */
    static final long PAUSE_US = 100_000;
    /** A loaded cache hands over when its answer would take this share of the wanted time. */
    static final double HAND_OVER = 0.6;

    final SplittableRandom random;
    final ClassMeans work = new ClassMeans();
    final Cold cold = new Cold(this);
    final Membership members = new Membership(this);
    final Health health = new Health(this);
    final Beliefs beliefs = new Beliefs(this);
    final Origin sparing = new Origin(this, new FadingAverage());
    final Room room;
    Settings settings;
    long now;
    long startedUs = NEVER;
    Consumer<Action> out;

    State(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.room = new Room(this);
    }
}
