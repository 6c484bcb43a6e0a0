package clovermill.controlplane.reload.decide;

import clovermill.routing.api.Effect;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.Permissions;
import clovermill.routing.api.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes over the life of a process. A class keeps its number by its name, whatever position
 * configurations give it, so that what is open or was learned under a number stays true; a number is never reused.
 *
 * <p>Clients follow a new configuration some time after the signal. During this overlap a class may do only what both
 * its old and its new terms allow, a request may be attempted only as often as both allow, and a class that was removed
 * is still accepted. Pure; not thread-safe.
 */
public final class RequestClassRegistry {

    /** Clients use new classes from 1.2 s after the signal; the rest covers requests on their way. */
    public static final long OVERLAP_US = 2_000_000;
    /** Names over the life of a process: the ledger stores a number in a byte. A file that needs more is not used. */
    private static final int MAX_NAMES = 255;

    /** By number. */
    private final List<String> names = new ArrayList<>();
    /** The terms in force, by number. */
    private final List<RequestClass> terms = new ArrayList<>();
    private List<String> configuredNames;
    private Map<String, RequestClass> nextTerms = new LinkedHashMap<>();
    private int maxAttempts;
    private int nextMaxAttempts;
    private long longestDeadlineUs;
    private long nextLongestDeadlineUs;
    private boolean overlapping;

    /** The classes of the start, numbered in this order, and how often a request may be attempted. */
    public RequestClassRegistry(List<String> names, List<RequestClass> terms, int maxAttempts) {
        this.names.addAll(names);
        this.terms.addAll(terms);
        this.configuredNames = List.copyOf(names);
        this.maxAttempts = maxAttempts;
        this.nextMaxAttempts = maxAttempts;
        this.longestDeadlineUs = longestDeadlineUs(terms);
        this.nextLongestDeadlineUs = longestDeadlineUs;
    }

    /** Whether there is a number left for each name that is new. */
    public boolean hasNumbersFor(List<String> nextNames) {
        return names.size() + nextNames.stream().filter(name -> !names.contains(name)).count() <= MAX_NAMES;
    }

    /** Adds new terms; until {@link #completeChange} both the old and the new ones bind. */
    public void beginChange(List<String> nextNames, List<RequestClass> newTerms, int newMaxAttempts) {
        for (int i = 0; i < nextNames.size(); i++) {
            int number = names.indexOf(nextNames.get(i));
            if (number < 0) {
                names.add(nextNames.get(i));
                terms.add(newTerms.get(i));
            } else {
                terms.set(number, stricter(terms.get(number), newTerms.get(i)));
            }
            nextTerms.put(nextNames.get(i), newTerms.get(i));
        }
        configuredNames = List.copyOf(nextNames);
        maxAttempts = Math.min(maxAttempts, newMaxAttempts);
        nextMaxAttempts = newMaxAttempts;
        nextLongestDeadlineUs = longestDeadlineUs(newTerms);
        longestDeadlineUs = Math.min(longestDeadlineUs, nextLongestDeadlineUs);
        overlapping = true;
    }

    /** Ends the overlap: only the new terms bind, and classes that were removed are no longer accepted. */
    public void completeChange() {
        nextTerms.forEach((name, each) -> terms.set(names.indexOf(name), each));
        nextTerms = new LinkedHashMap<>();
        maxAttempts = nextMaxAttempts;
        longestDeadlineUs = nextLongestDeadlineUs;
        overlapping = false;
    }

    /** The terms in force by number, those of removed classes included. */
    public List<RequestClass> requestClasses() {
        return List.copyOf(terms);
    }

    /**
     * The longest deadline of the configured classes, in microseconds; the shorter of both during an overlap. The
     * platform's kill follows it, so a removed class does not count, however long its deadline was.
     */
    public long longestDeadlineUs() {
        return longestDeadlineUs;
    }

    private static long longestDeadlineUs(List<RequestClass> classes) {
        return classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /** Names by number; null for those that are no longer accepted. */
    public List<String> acceptedNames() {
        List<String> accepted = new ArrayList<>(names);
        accepted.replaceAll(name -> overlapping || configuredNames.contains(name) ? name : null);
        return accepted;
    }

    /** The permissions with the number of attempts in force in place of their own. */
    public Permissions withMaxAttempts(Permissions permissions) {
        return new Permissions(permissions.straight(), permissions.joins(), permissions.cancelling(),
                permissions.secondCopies(), permissions.probes(), permissions.peerMessages(), maxAttempts,
                permissions.maxOpen(), permissions.maxRetryAfterUs());
    }

    /** The new terms, with no more freedom to repeat than the old ones give, and the longer of both deadlines. */
    private static RequestClass stricter(RequestClass old, RequestClass next) {
        Effect effect = old.effect().compareTo(next.effect()) > 0 ? old.effect() : next.effect();
        KeyScope scope = old.keyScope().compareTo(next.keyScope()) > 0 ? old.keyScope() : next.keyScope();
        long freshUs = Math.min(freshUs(old), freshUs(next));
        return new RequestClass(next.aimUs(), next.aimStretch(), Math.max(old.deadlineUs(), next.deadlineUs()),
                next.worth(), next.lateWorth(), effect, scope, Math.min(windowUs(old), windowUs(next)),
                next.streamed(), next.goesThrough(), next.inParts(), freshUs == Long.MAX_VALUE ? 0 : freshUs,
                Math.min(old.usableAfterUs(), next.usableAfterUs()), next.staleWorth());
    }

    /** The deduplication window; it binds only a class whose repeats are recognised. */
    private static long windowUs(RequestClass requestClass) {
        return requestClass.effect() == Effect.DEDUPLICATED ? requestClass.windowUs() : Long.MAX_VALUE;
    }

    /** How long a copy is fresh; the settings' 0 stands for until purged. */
    private static long freshUs(RequestClass requestClass) {
        return requestClass.freshUs() == 0 ? Long.MAX_VALUE : requestClass.freshUs();
    }
}
