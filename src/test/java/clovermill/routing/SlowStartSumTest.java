package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.SlowStartRule;
import clovermill.routing.api.TimerExpired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What many directors, none of which knows of the others, send together to a member that has just started: in any span
 * that the settings name no more than the N requests of mean work that it may get, and what chance adds to that, twice
 * the root of N and 2. Attempts of all kinds count, at the cold member or filled from it.
 */
class SlowStartSumTest {

    private static final int CACHES = 6;
    private static final long STEP_US = 10_000;
    private static final double WORK_US = 400_000;
    private static final long KNOWN_US = 15_000_000;
    private static final long WATCHED_US = 12_000_000;

    /** The worst span of ten seeds counts; of the directors one in {@code restarted} starts anew with the member. */
    @ParameterizedTest
    @CsvSource({"6,0.6,true,false,3", "30,0.6,true,false,3", "100,0.6,true,false,3", "30,0.9,true,false,3",
        "30,0.6,false,false,3", "6,0.6,true,true,3", "30,0.6,true,true,3", "100,0.6,true,true,3", "30,0.6,false,true,3",
        "30,0.6,true,false,1", "100,0.6,false,false,1", "30,0.6,true,true,1", "30,0.6,false,true,1",
        "100,0.6,true,true,1", "1,0.6,true,false,1", "1,0.9,true,false,3", "1,0.6,false,false,1", "1,0.6,true,true,1",
        "1,0.9,false,true,1", "2,0.6,true,false,1", "2,0.6,true,false,2", "2,0.9,false,false,2", "2,0.6,true,true,1",
        "2,0.9,false,true,2"})
    void theSumOfAllDirectorsStaysWithinWhatAColdMemberMayGet(int directors, double load, boolean toldSizes,
            boolean parent, int restarted) {
        double worst = Double.NEGATIVE_INFINITY;
        String what = "";
        for (int seed = 1; seed <= 10; seed++) {
            Fleet fleet = new Fleet(directors, load, toldSizes, parent ? "parent-0" : "cache-0", seed);
            fleet.runFor(KNOWN_US);
            fleet.startsCold(restarted);
            fleet.runFor(WATCHED_US);
            SlowStartRule rule = parent ? Director.PARENT_TIGHT : Director.TIGHT;
            double capacity = (parent ? Director.parent(0) : Director.cache(0)).weight() / WORK_US;
            int from = 0;
            for (int i = 0; i < fleet.sentUs.size(); i++) {
                while (fleet.sentUs.get(from) <= fleet.sentUs.get(i) - rule.overloadWindowUs()) {
                    from++;
                }
                double age = fleet.sentUs.get(i) - rule.overloadWindowUs() / 2.0 - fleet.coldSinceUs;
                double part = Math.min(1,
                        rule.initialShare() + (1 - rule.initialShare()) * Math.max(0, age) / rule.durationUs());
                double may = rule.overloadMultiple() * part * capacity * rule.overloadWindowUs();
                double over = i - from + 1 - (may + 2 * Math.sqrt(may) + 2);
                if (over > worst) {
                    worst = over;
                    what = (i - from + 1) + " sent where N is " + may + ", seed " + seed;
                }
            }
            assertThat(fleet.sentUs).as("the cold member is used").hasSizeGreaterThan(3);
        }
        assertThat(worst).as(what).isNegative();
    }

    private record Due(long atUs, long number, int director, Event event) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    /** A fleet with uneven load before members that may hang, fail and refuse; all chance comes from one seed. */
    private static final class Fleet {
        final SplittableRandom random;
        final boolean toldSizes;
        final String cold;
        final RequestRouter[] directors;
        final double[] perStep;
        final PriorityQueue<Due> due = new PriorityQueue<>();
        final Map<String, Integer> attempts = new HashMap<>();
        final List<Long> sentUs = new ArrayList<>();
        long coldSinceUs;
        long now = 10_000_000_000L;
        long count;

        Fleet(int size, double load, boolean toldSizes, String cold, long seed) {
            this.random = new SplittableRandom(seed);
            this.toldSizes = toldSizes;
            this.cold = cold;
            this.directors = new RequestRouter[size];
            this.perStep = new double[size];
            double all = 0;
            for (int i = 0; i < size; i++) {
                perStep[i] = i % 10 == 0 ? 5 : 0.3 + random.nextDouble();
                all += perStep[i];
            }
            double requestsPerUs = load * CACHES * Director.cache(0).weight() / WORK_US;
            for (int i = 0; i < size; i++) {
                perStep[i] *= requestsPerUs * STEP_US / all;
                start(i);
            }
        }

        private void start(int director) {
            directors[director] = new RequestRouter(Director.tight(directors.length), random.nextLong());
            directors[director].handle(now, members(ListScope.LAST_KNOWN), action -> {});
        }

        private MembersChanged members(ListScope scope) {
            return new MembersChanged(scope,
                    Director.fleet(CACHES).members().stream().map(member -> member.id().equals(cold)
                            ? Director.with(member, Availability.HEALTHY, coldSinceUs) : member).toList());
        }

        /** All are told at once; one in so many directors starts anew with it, and each one hears of it twice more. */
        void startsCold(int restarted) {
            coldSinceUs = now;
            sentUs.clear();
            for (int i = 0; i < directors.length; i++) {
                if (i % restarted == 0) {
                    start(i);
                } else {
                    tell(i, members(ListScope.FULL));
                }
                due.add(new Due(now + 300_000, ++count, i, members(ListScope.FULL)));
                due.add(new Due(now + 600_000, ++count, i, members(ListScope.FULL)));
            }
        }

        void runFor(long lengthUs) {
            for (long untilUs = now + lengthUs; now < untilUs; now += STEP_US) {
                while (!due.isEmpty() && due.peek().atUs <= now) {
                    Due next = due.poll();
                    tell(next.director, next.event);
                }
                for (int i = 0; i < perStep.length; i++) {
                    if (random.nextDouble() < perStep[i]) {
                        ask(i);
                    }
                }
            }
        }

        private void ask(int director) {
            double kb = WORK_US / 1000 * -Math.log(1 - random.nextDouble());
            boolean large = random.nextInt(4) < (toldSizes ? 1 : 3);
            tell(director, new Request((large ? "f" : "0") + String.format("%015x", ++count), large ? 0 : 3, 0,
                    random.nextInt(300), random.nextInt(3), 0, toldSizes ? kb : 0, 6_000_000, false));
        }

        private void tell(int director, Event event) {
            directors[director].handle(now, event, action -> perform(director, action));
        }

        private void perform(int director, Action action) {
            if (action instanceof SendVia via) {
                attempt(director, via.request(), via.member(), via.source());
            } else if (action instanceof Send send) {
                attempt(director, send.request(), send.member(), send.member());
            } else if (action instanceof SetTimer timer) {
                due.add(new Due(now + timer.delayUs(), ++count, director, new TimerExpired(timer.token())));
            }
        }

        /**
         * Some hang until they are overdue, some fail, some are refused; a third of what is asked for is missed, and
         * all of one class where sizes are not told: no hit tells of its work.
         */
        private void attempt(int director, String request, String member, String source) {
            if (coldSinceUs > 0 && (member.equals(cold) || source.equals(cold))) {
                sentUs.add(now);
            }
            int chance = random.nextInt(100);
            long tookUs = chance < 3 ? 2_000_000 : (long) (WORK_US * -Math.log(1 - random.nextDouble()));
            Result result = chance == 3 ? Result.ERROR : chance == 4 ? Result.REJECTED : Result.OK;
            boolean filled = !source.equals(member) && (member.equals(cold) || random.nextInt(3) == 0
                    || !toldSizes && request.startsWith("f"));
            due.add(new Due(now + tookUs, ++count, director, new AttemptEnded(request,
                    attempts.merge(request, 1, Integer::sum) - 1, member, result, tookUs, result == Result.OK,
                    result != Result.OK ? CacheStatus.NONE : filled ? CacheStatus.FILLED : CacheStatus.HIT,
                    filled ? tookUs / 2 : 0,
                    null)));
        }
    }
}
