package clovermill.reload.decide;

import clovermill.CacheRouter.Effect;
import clovermill.CacheRouter.KeyScope;
import clovermill.CacheRouter.Permissions;
import clovermill.CacheRouter.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes of requests over the life of a process. A class keeps its number by its name, whatever place
 * configurations give it, so that what is open or was learned under a number stays true; a number is never used again.
 *
 * <p>Clients follow a new configuration some time after the signal. Until then a class may do only what its old and its
 * new terms both allow, a request may be attempted only as often as both allow, and one that is dropped is still taken.
 * Not thread-safe.
 */
public final class Classes {

    /** Clients name new classes 1.2 s after the signal; the rest is for what is on its way. */
    public static final long OVERLAP_US = 2_000_000;
    /** Names over the life of a process: the ledger keeps a number in a byte. A file that needs more is not taken. */
    private static final int MOST = 255;

    private final List<String> names = new ArrayList<>();
    private final List<RequestClass> terms = new ArrayList<>();
    private List<String> wanted;
    private Map<String, RequestClass> target = new LinkedHashMap<>();
    private int attempts;
    private int targetAttempts;
    private long longestUs;
    private long targetLongestUs;
    private boolean overlaps;

    /** The classes of the start, numbered as they stand, and how often a request may be attempted. */
    public Classes(List<String> names, List<RequestClass> terms, int attempts) {
        this.names.addAll(names);
        this.terms.addAll(terms);
        this.wanted = List.copyOf(names);
        this.attempts = attempts;
        this.targetAttempts = attempts;
        this.longestUs = longest(terms);
        this.targetLongestUs = longestUs;
    }

    /** Whether there is a number left for each name that is new. */
    public boolean hasRoomFor(List<String> newNames) {
        return names.size() + newNames.stream().filter(name -> !names.contains(name)).count() <= MOST;
    }

    /** Takes new terms; until {@link #settle} both the old and the new ones bind. */
    public void change(List<String> newNames, List<RequestClass> newTerms, int newAttempts) {
        for (int i = 0; i < newNames.size(); i++) {
            int number = names.indexOf(newNames.get(i));
            if (number < 0) {
                names.add(newNames.get(i));
                terms.add(newTerms.get(i));
            } else {
                terms.set(number, both(terms.get(number), newTerms.get(i)));
            }
            target.put(newNames.get(i), newTerms.get(i));
        }
        wanted = List.copyOf(newNames);
        attempts = Math.min(attempts, newAttempts);
        targetAttempts = newAttempts;
        longestUs = Math.min(longestUs, longest(newTerms));
        targetLongestUs = longest(newTerms);
        overlaps = true;
    }

    /** The overlap is over: only the new terms bind, and classes that were dropped are no longer taken. */
    public void settle() {
        target.forEach((name, each) -> terms.set(names.indexOf(name), each));
        target = new LinkedHashMap<>();
        attempts = targetAttempts;
        longestUs = targetLongestUs;
        overlaps = false;
    }

    /** The terms in force by number, those of dropped classes too. */
    public List<RequestClass> terms() {
        return List.copyOf(terms);
    }

    /**
     * The longest deadline of the classes that the configuration has, in microseconds; the shorter of both while they
     * overlap. The platform's kill follows it, so a class that was dropped no longer counts, however long it was.
     */
    public long longestDeadlineUs() {
        return longestUs;
    }

    private static long longest(List<RequestClass> of) {
        return of.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /** Names by number; null for those that are taken no more. */
    public List<String> taken() {
        List<String> result = new ArrayList<>(names);
        result.replaceAll(name -> overlaps || wanted.contains(name) ? name : null);
        return result;
    }

    /** What is allowed otherwise, with the attempts in force. */
    public Permissions bounded(Permissions told) {
        return new Permissions(told.straight(), told.joins(), told.cancelling(), told.secondCopies(), told.probes(),
                told.peerMessages(), attempts, told.maxOpen(), told.maxRetryAfterUs());
    }

    /** The new terms, with no more freedom to repeat than the old ones give, and the longer of both waits. */
    private static RequestClass both(RequestClass old, RequestClass next) {
        Effect effect = old.effect().compareTo(next.effect()) > 0 ? old.effect() : next.effect();
        KeyScope scope = old.keyScope().compareTo(next.keyScope()) > 0 ? old.keyScope() : next.keyScope();
        return new RequestClass(next.aimUs(), next.aimStretch(), Math.max(old.deadlineUs(), next.deadlineUs()),
                next.worth(), next.lateWorth(), effect, scope, Math.min(window(old), window(next)), next.streamed(),
                next.goesThrough(), next.inParts(), Math.min(fresh(old), fresh(next)) == Long.MAX_VALUE ? 0
                        : Math.min(fresh(old), fresh(next)),
                Math.min(old.usableAfterUs(), next.usableAfterUs()),
                next.staleWorth());
    }

    /** Only a class whose repeats are recognised has a window that binds. */
    private static long window(RequestClass each) {
        return each.effect() == Effect.DEDUPLICATED ? each.windowUs() : Long.MAX_VALUE;
    }

    /** 0 stands for fresh until purged. */
    private static long fresh(RequestClass each) {
        return each.freshUs() == 0 ? Long.MAX_VALUE : each.freshUs();
    }
}
