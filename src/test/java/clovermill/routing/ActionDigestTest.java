package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.DisabledMembersChanged;
import clovermill.routing.api.Event;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SettingsChanged;
import clovermill.routing.api.TimerExpired;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Seeded runs of one director over 60 s of virtual time, compared with the recorded digest of all its actions. A change
 * that should not affect the decisions (a rename, a move, a split) does not change these digests; one that should
 * change decisions records new digests, and its commit says so.
 */
class ActionDigestTest {

    private static final long STEP_US = 5_000;
    private static final long SPAN_US = 60_000_000;
    private static final int CACHES = 4;

    private record Scheduled(long atUs, long sequence, Event event) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private final MessageDigest digest = sha256();
    private SplittableRandom random;
    private RequestRouter router;
    private Settings settings;
    private boolean sizesKnown;
    private boolean loadReported;
    private double slowdown;
    private long nowUs = 10_000_000_000L;
    private long sequence;

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    /** Each row: the capabilities and reports of the deployment, the load, the seed, and the recorded digest. */
    @ParameterizedTest
    @CsvSource({
        "true,  ALL,  1, true,  true,  1,   1, a306b242cd0e8005",
        "true,  ALL,  6, true,  true,  3,   2, 2702b270dcf60fba",
        "true,  ALL,  6, true,  false, 3,   3, b3d68987bdfe5f3b",
        "true,  HITS, 3, false, true,  1,   4, c3127ed599db5be6",
        "true,  NONE, 3, true,  true,  2,   5, ffbc9056597135bf",
        "false, NONE, 3, false, false, 2,   6, 72cc634fae34a41a",
        "false, ALL,  1, true,  false, 1,   7, 8eaf84b16001a1a7",
        "false, HITS, 9, false, true,  4,   8, f0cda6f41c20ac00"})
    void actionsMatchRecordedDigest(boolean cacheBypass, CacheStatusDetail cacheStatusDetail, int directors,
            boolean sizes, boolean loads,
            double slow, long seed, String recorded) {
        random = new SplittableRandom(seed);
        settings = withLinkRateAndListOnRequest(seed % 2 == 0 ? TestDirector.tightSettings(directors)
                : TestDirector.settings(cacheBypass, cacheStatusDetail, directors), cacheBypass, cacheStatusDetail);
        sizesKnown = sizes;
        loadReported = loads;
        slowdown = slow;
        router = new RequestRouter(settings, seed);
        handle(TestDirector.fullList(CACHES));
        for (long endUs = nowUs + SPAN_US; nowUs < endUs; nowUs += STEP_US) {
            step();
        }
        assertThat(kinds).as("kinds of actions").containsKeys("SendVia", "Reject", "Cancel", "SetTimer", "Log");
        assertThat(HexFormat.of().formatHex(digest.digest(), 0, 8)).as("digest of all actions: " + kinds)
                .isEqualTo(recorded);
    }

    /** Returns the settings with a known link rate, a member list on request, and the given capabilities and detail. */
    private static Settings withLinkRateAndListOnRequest(Settings given, boolean cacheBypass,
            CacheStatusDetail cacheStatusDetail) {
        HostCapabilities capabilities = new HostCapabilities(cacheBypass, true, true, true, false, false, 6, 1000,
                400_000);
        return new Settings(given.directorIndex(), given.directorCount(), given.zone(), given.classes(),
                given.directorsByZone(), given.hubByZone(), given.parentKind(), given.originKind(), given.paceKbPerS(),
                given.weighted(), given.siblings(), cacheStatusDetail, given.slowStart(), given.parentSlowStart(),
                given.drainGraceUs(),
                given.answerSlackUs(), given.purgeNoticeUs(), given.purgeCompletionUs(), given.dialTimeoutUs(), true,
                given.fetchMembersWithinUs(), given.originOverloadMultiple(), given.originOverloadWindowUs(), 12_000,
                capabilities);
    }

    private void step() {
        while (!scheduled.isEmpty() && scheduled.peek().atUs() <= nowUs) {
            handle(scheduled.poll().event());
        }
        if (random.nextInt(100) < 40) {
            request();
        }
        if (random.nextInt(1_000) < 5) {
            configurationEvent();
        }
    }

    private void request() {
        String id = String.format("%016x", ++sequence);
        int kind = random.nextInt(10);
        long object = (long) (40 * Math.pow(random.nextDouble(), 3));
        double kb = sizesKnown ? random.nextInt(4) == 0 ? 600 : 60 : 0;
        String excluded = random.nextInt(50) == 0 ? "cache-1" : "";
        handle(new Request(id, kind < 6 ? 0 : kind - 6, 0, object, random.nextInt(2), (int) (object % 8), kb,
                1_000_000 + random.nextInt(4_000_000), false, member -> !member.equals(excluded)));
        if (random.nextInt(40) == 0) {
            schedule(random.nextInt(300_000), new RequestCancelled(id));
        }
    }

    /** Handles a purge, a member that starts, drains or returns, a failed list, disabled members, or new settings. */
    private void configurationEvent() {
        Member cache = TestDirector.cache(random.nextInt(CACHES));
        Member parent = TestDirector.parent(random.nextInt(2));
        switch (random.nextInt(9)) {
            case 0 -> handle(new Purge((long) random.nextInt(40), random.nextInt(8), random.nextInt(2_000_000)));
            case 1 -> handle(new Purge(null, random.nextInt(8), random.nextInt(2_000_000)));
            case 2 -> handle(changes(TestDirector.with(cache, Availability.HEALTHY, nowUs - random.nextInt(500_000))));
            case 3 -> handle(changes(TestDirector.with(parent, Availability.HEALTHY, nowUs - random.nextInt(500_000))));
            case 4 -> {
                handle(changes(TestDirector.with(cache, Availability.DRAINING, 0)));
                schedule(2_000_000, changes(cache));
            }
            case 5 -> handle(new MembersChanged(ListScope.FAILED, List.of()));
            case 6 -> handle(new SettingsChanged(settings));
            case 7 -> {
                handle(new DisabledMembersChanged(List.of(cache.id())));
                handle(TestDirector.fullList(CACHES));
                schedule(1_500_000, new DisabledMembersChanged(List.of()));
                schedule(1_500_001, TestDirector.fullList(CACHES));
            }
            default -> handle(TestDirector.fullList(CACHES));
        }
    }

    private static MembersChanged changes(Member member) {
        return new MembersChanged(ListScope.CHANGES, List.of(member));
    }

    private void schedule(long inUs, Event event) {
        scheduled.add(new Scheduled(nowUs + inUs, ++sequence, event));
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        router.handle(nowUs, event, actions::add);
        for (Action action : actions) {
            digest.update((nowUs + values(action) + "\n").getBytes(StandardCharsets.UTF_8));
            kinds.merge(action.getClass().getSimpleName(), 1, Integer::sum);
            perform(action);
        }
    }

    /** Returns the types and values of an action's components, without names, so that renames keep the digest. */
    private static String values(Action action) {
        StringBuilder text = new StringBuilder();
        for (RecordComponent component : action.getClass().getRecordComponents()) {
            try {
                text.append(' ').append(component.getType().getSimpleName()).append(' ')
                        .append(component.getAccessor().invoke(action));
            } catch (ReflectiveOperationException e) {
                throw new AssertionError(e);
            }
        }
        return text.toString();
    }

    private void perform(Action action) {
        if (action instanceof SendVia via) {
            attempt(via.request(), via.member(), via.member().equals(via.source()));
        } else if (action instanceof Send send) {
            attempt(send.request(), send.member(), false);
        } else if (action instanceof SetTimer timer) {
            schedule(timer.delayUs(), new TimerExpired(timer.token()));
        } else if (action instanceof Cancel cancel) {
            schedule(1_000, new AttemptEnded(cancel.request(), cancel.attempt(), "", Result.CANCELLED, 1_000, true,
                    CacheStatus.NONE, 0, null));
        }
    }

    /** Schedules the end of an attempt at a random time; about a tenth time out, fail or are rejected. */
    private void attempt(String request, String member, boolean onlyIfCached) {
        int chance = random.nextInt(100);
        boolean ok = chance >= 12;
        boolean timedOut = chance < 4;
        Result result = ok ? onlyIfCached && random.nextBoolean() ? Result.MISS : Result.OK
                : timedOut ? Result.TIMED_OUT : Result.values()[1 + random.nextInt(Result.values().length - 1)];
        CacheStatus cacheStatus = result == Result.OK
                ? random.nextInt(3) == 0 ? CacheStatus.values()[2 + random.nextInt(4)] : CacheStatus.HIT
                : CacheStatus.values()[random.nextInt(3) == 0 ? 6 + random.nextInt(5) : 0];
        long elapsedUs = timedOut ? 2_000_000 : (long) (100_000 * slowdown * -Math.log(1 - random.nextDouble()));
        LoadReport load = loadReported && random.nextBoolean()
                ? new LoadReport(random.nextInt(20) * slowdown, 0.5, random.nextDouble()) : null;
        schedule(elapsedUs,
                new AttemptEnded(request, attempts.merge(request, 1, Integer::sum) - 1, member, result, elapsedUs,
                        result == Result.OK, cacheStatus, cacheStatus == CacheStatus.HIT ? 0 : elapsedUs / 2, load));
    }
}
