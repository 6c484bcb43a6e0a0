package clovermill.spread.decide;

/**
 * How many transfers a member or a link can hold at full pace, learned from how much answers were stretched and how
 * many shared it. Little room grows again while nothing is sent that could tell of more, else a member left alone for
 * it stays so. Not thread-safe; times are microseconds on the owner's clock.
 */
public final class ConcurrencyEstimator {

    /** A member that turned work away is left alone for about the time of an answer. */
    public static final long CROWDED_US = 200_000;
    /** Answers stretched beyond this show the most that a member can do, others the least. */
    public static final double STRETCHED = 1.5;
    /** What a member that turns work away holds, in multiples of its room: its waiting room is full too. */
    private static final double FULL = 4;
    /** Share of the latest answer in what is learned: about the last four count. */
    private static final double NEWS = 0.3;
    /** Time after which room that nothing was sent to has grown by a factor of e. */
    private static final double GROWS_US = 8_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double room;
    private long triedUs;
    private long learnedUs = NEVER;
    private long crowdedUntilUs;

    /** The room now; {@code most} where nothing was learned. */
    public double at(long nowUs, double most) {
        return room == 0 ? most : room * Math.exp((nowUs - triedUs) / GROWS_US);
    }

    /** Something was sent, or has ended, whose time will tell of the room. */
    public void tried(long nowUs) {
        triedUs = nowUs;
    }

    /** Whether anything was learned after that moment. */
    public boolean learnedAfter(long us) {
        return learnedUs > us;
    }

    /** An answer that was stretched so much shows room for so many; {@code present} is what it is taken for. */
    public void shown(double shown, double stretch, double present, long nowUs) {
        learnedUs = nowUs;
        if (room == 0 && stretch > STRETCHED) {
            room = shown;
        } else if (room > 0 && (shown > present || stretch > STRETCHED)) {
            room = present + NEWS * (shown - present);
        }
    }

    /** Work was turned away while so much was held: there is less room than was thought. */
    public void turnedAway(double load, double present, long nowUs) {
        crowdedUntilUs = nowUs + CROWDED_US;
        room = Math.min(present, (load + 1) / FULL);
    }

    /** Whether work was turned away a moment ago. */
    public boolean crowded(long nowUs) {
        return nowUs < crowdedUntilUs;
    }

    /** Forgets what was learned: what is counted has started anew. */
    public void forget() {
        room = 0;
    }
}
