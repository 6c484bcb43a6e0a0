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
 * The total load that many directors, which do not communicate, send to a member that has just started. In any overload
 * window of the settings, it is at most the N requests of mean work that the slow start permits, plus a tolerance for
 * randomness of twice the square root of N and 2. All attempts that are sent to the member or filled from it count.
 */
class SlowStartLimitTest {

    private static final int CACHES = 6;
    private static final long STEP_US = 10_000;
    private static final double WORK_US = 400_000;
    private static final long WARM_UP_US = 15_000_000;
    private static final long SLOW_START_US = 12_000_000;

    /** Tests the worst window of ten seeds; one in {@code restarted} directors restarts together with the member. */
    @ParameterizedTest
    @CsvSource({"6,0.6,true,false,3", "30,0.6,true,false,3", "100,0.6,true,false,3", "30,0.9,true,false,3",
        "30,0.6,false,false,3", "6,0.6,true,true,3", "30,0.6,true,true,3", "100,0.6,true,true,3", "30,0.6,false,true,3",
        "30,0.6,true,false,1", "100,0.6,false,false,1", "30,0.6,true,true,1", "30,0.6,false,true,1",
        "100,0.6,true,true,1", "1,0.6,true,false,1", "1,0.9,true,false,3", "1,0.6,false,false,1", "1,0.6,true,true,1",
        "1,0.9,false,true,1", "2,0.6,true,false,1", "2,0.6,true,false,2", "2,0.9,false,false,2", "2,0.6,true,true,1",
        "2,0.9,false,true,2"})
    void directorsTogetherStayWithinSlowStartLimit(int directors, double load, boolean sizesKnown,
            boolean parent, int restarted) {
        double worstExcess = Double.NEGATIVE_INFINITY;
        String description = "";
        for (int seed = 1; seed <= 10; seed++) {
            Fleet fleet = new Fleet(directors, load, sizesKnown, parent ? "parent-0" : "cache-0", seed);
            fleet.runFor(WARM_UP_US);
            fleet.restartMember(restarted);
            fleet.runFor(SLOW_START_US);
            SlowStartRule rule = parent ? TestDirector.PARENT_TIGHT_SLOW_START : TestDirector.TIGHT_SLOW_START;
            double capacity = (parent ? TestDirector.parent(0) : TestDirector.cache(0)).weight() / WORK_US;
            int from = 0;
            for (int i = 0; i < fleet.sentUs.size(); i++) {
                while (fleet.sentUs.get(from) <= fleet.sentUs.get(i) - rule.overloadWindowUs()) {
                    from++;
                }
                double age = fleet.sentUs.get(i) - rule.overloadWindowUs() / 2.0 - fleet.coldSinceUs;
                double part = Math.min(1,
                        rule.initialShare() + (1 - rule.initialShare()) * Math.max(0, age) / rule.durationUs());
                double limit = rule.overloadMultiple() * part * capacity * rule.overloadWindowUs();
                double excess = i - from + 1 - (limit + 2 * Math.sqrt(limit) + 2);
                if (excess > worstExcess) {
                    worstExcess = excess;
                    description = (i - from + 1) + " sent, N is " + limit + ", seed " + seed;
                }
            }
            assertThat(fleet.sentUs).as("attempts at the cold member").hasSizeGreaterThan(3);
        }
        assertThat(worstExcess).as(description).isNegative();
    }

    private record Scheduled(long atUs, long sequence, int director, Event event) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(sequence, other.sequence);
        }
    }

    /** Directors with uneven load in front of members that may hang, fail and reject; one seed for all randomness. */
    private static final class Fleet {
        final SplittableRandom random;
        final boolean sizesKnown;
        final String coldId;
        final RequestRouter[] directors;
        final double[] requestsPerStep;
        final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>();
        final Map<String, Integer> attempts = new HashMap<>();
        final List<Long> sentUs = new ArrayList<>();
        long coldSinceUs;
        long nowUs = 10_000_000_000L;
        long sequence;

        Fleet(int size, double load, boolean sizesKnown, String coldId, long seed) {
            this.random = new SplittableRandom(seed);
            this.sizesKnown = sizesKnown;
            this.coldId = coldId;
            this.directors = new RequestRouter[size];
            this.requestsPerStep = new double[size];
            double all = 0;
            for (int i = 0; i < size; i++) {
                requestsPerStep[i] = i % 10 == 0 ? 5 : 0.3 + random.nextDouble();
                all += requestsPerStep[i];
            }
            double requestsPerUs = load * CACHES * TestDirector.cache(0).weight() / WORK_US;
            for (int i = 0; i < size; i++) {
                requestsPerStep[i] *= requestsPerUs * STEP_US / all;
                startDirector(i);
            }
        }

        private void startDirector(int director) {
            directors[director] = new RequestRouter(TestDirector.tightSettings(directors.length), random.nextLong());
            directors[director].handle(nowUs, members(ListScope.LAST_KNOWN), action -> {});
        }

        private MembersChanged members(ListScope scope) {
            return new MembersChanged(scope,
                    TestDirector.fullList(CACHES).members().stream().map(member -> member.id().equals(coldId)
                            ? TestDirector.with(member, Availability.HEALTHY, coldSinceUs) : member).toList());
        }

        /**
         * Restarts the member, reported to all directors at once and twice later; one in so many directors restarts
         * too.
         */
        void restartMember(int restarted) {
            coldSinceUs = nowUs;
            sentUs.clear();
            for (int i = 0; i < directors.length; i++) {
                if (i % restarted == 0) {
                    startDirector(i);
                } else {
                    handle(i, members(ListScope.FULL));
                }
                scheduled.add(new Scheduled(nowUs + 300_000, ++sequence, i, members(ListScope.FULL)));
                scheduled.add(new Scheduled(nowUs + 600_000, ++sequence, i, members(ListScope.FULL)));
            }
        }

        void runFor(long lengthUs) {
            for (long untilUs = nowUs + lengthUs; nowUs < untilUs; nowUs += STEP_US) {
                while (!scheduled.isEmpty() && scheduled.peek().atUs <= nowUs) {
                    Scheduled next = scheduled.poll();
                    handle(next.director, next.event);
                }
                for (int i = 0; i < requestsPerStep.length; i++) {
                    if (random.nextDouble() < requestsPerStep[i]) {
                        sendRequest(i);
                    }
                }
            }
        }

        private void sendRequest(int director) {
            double kb = WORK_US / 1000 * -Math.log(1 - random.nextDouble());
            boolean large = random.nextInt(4) < (sizesKnown ? 1 : 3);
            handle(director, new Request((large ? "f" : "0") + String.format("%015x", ++sequence), large ? 0 : 3, 0,
                    random.nextInt(300), random.nextInt(3), 0, sizesKnown ? kb : 0, 6_000_000, false));
        }

        private void handle(int director, Event event) {
            directors[director].handle(nowUs, event, action -> perform(director, action));
        }

        private void perform(int director, Action action) {
            if (action instanceof SendVia via) {
                attempt(director, via.request(), via.member(), via.source());
            } else if (action instanceof Send send) {
                attempt(director, send.request(), send.member(), send.member());
            } else if (action instanceof SetTimer timer) {
                scheduled.add(
                        new Scheduled(nowUs + timer.delayUs(), ++sequence, director, new TimerExpired(timer.token())));
            }
        }

        /**
         * Schedules the end of an attempt: some hang until they are overdue, some fail, some are rejected. A third of
         * the requests are misses, and all of one class if sizes are unknown, so that no hit reveals its work.
         */
        private void attempt(int director, String request, String member, String source) {
            if (coldSinceUs > 0 && (member.equals(coldId) || source.equals(coldId))) {
                sentUs.add(nowUs);
            }
            int chance = random.nextInt(100);
            long elapsedUs = chance < 3 ? 2_000_000 : (long) (WORK_US * -Math.log(1 - random.nextDouble()));
            Result result = chance == 3 ? Result.ERROR : chance == 4 ? Result.REJECTED : Result.OK;
            boolean filled = !source.equals(member) && (member.equals(coldId) || random.nextInt(3) == 0
                    || !sizesKnown && request.startsWith("f"));
            scheduled.add(new Scheduled(nowUs + elapsedUs, ++sequence, director, new AttemptEnded(request,
                    attempts.merge(request, 1, Integer::sum) - 1, member, result, elapsedUs, result == Result.OK,
                    result != Result.OK ? CacheStatus.NONE : filled ? CacheStatus.FILLED : CacheStatus.HIT,
                    filled ? elapsedUs / 2 : 0,
                    null)));
        }
    }
}
