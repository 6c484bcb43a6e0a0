package clovermill.simulation.emulator;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Event;
import clovermill.routing.api.Fail;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.SendVia;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A baseline router from the literature: selects the cache with the lowest reported load, of all caches or of a random
 * sample (Mitzenmacher, "The Power of Two Choices", 2001). It uses each report unchanged, without a hash ring or slow
 * start; a miss is filled from a fixed hub.
 */
final class LeastLoadedRouter implements CacheRouter {

    private final SplittableRandom random;
    private final int sampleSize;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Double> reportedConcurrency = new HashMap<>();

    LeastLoadedRouter(long seed, int sampleSize) {
        this.random = new SplittableRandom(seed);
        this.sampleSize = sampleSize;
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> out) {
        if (event instanceof MembersChanged change) {
            change.members().stream().filter(each -> each.kind() == 0).forEach(each -> members.put(each.id(), each));
            members.values().removeIf(member -> member.availability() != Availability.HEALTHY);
        } else if (event instanceof Request request) {
            List<Member> candidates = new ArrayList<>(members.values());
            Member best = null;
            for (int i = 0; i < sampleSize && !candidates.isEmpty(); i++) {
                Member next = candidates.remove(random.nextInt(candidates.size()));
                best = best == null || load(next) < load(best) ? next : best;
            }
            out.accept(best == null ? new Reject(request.id(), 0)
                    : new SendVia(request.id(), best.id(), request.timeoutUs(), "hub-0", 2, 0, false, false, false,
                            false));
        } else if (event instanceof AttemptEnded outcome) {
            if (outcome.load() != null) {
                reportedConcurrency.put(outcome.member(), outcome.load().concurrency());
            }
            if (!outcome.requestEnded()) {
                out.accept(new Fail(outcome.request()));
            }
        }
    }

    private double load(Member member) {
        return reportedConcurrency.getOrDefault(member.id(), 0.0) / member.weight();
    }
}
