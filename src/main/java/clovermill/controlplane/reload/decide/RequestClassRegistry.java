package clovermill.controlplane.reload.decide;

import clovermill.routing.api.Effect;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes of a process across reloads of the configuration. A class keeps its number, by its name, whatever
 * its position in later configurations, so that open requests and statistics under a number remain valid; a number is
 * never reused.
 *
 * <p>Clients apply a new configuration some time after the signal. During this overlap a class is restricted to what
 * both its old and its new definition allow, the attempts of a request to the number that both configurations allow,
 * and a removed class is still accepted. Pure; not thread-safe.
 */
public final class RequestClassRegistry {

    /** Clients use new classes from 1.2 s after the signal; the rest covers requests in transit. */
    public static final long OVERLAP_US = 2_000_000;
    /**
     * Maximum number of names during a process, as the ledger stores a number in a byte. A configuration with more is
     * rejected.
     */
    private static final int MAX_NAMES = 255;

    /** The names, by number. */
    private final List<String> names = new ArrayList<>();
    /** The definitions in force, by number. */
    private final List<RequestClass> definitions = new ArrayList<>();
    private List<String> configuredNames;
    private Map<String, RequestClass> nextDefinitions = new LinkedHashMap<>();
    private int maxAttempts;
    private int nextMaxAttempts;
    private long longestDeadlineUs;
    private long nextLongestDeadlineUs;
    private boolean overlapping;

    /**
     * Creates a registry with the classes of the first configuration, numbered in this order.
     *
     * @param maxAttempts how often a request may be attempted
     */
    public RequestClassRegistry(List<String> names, List<RequestClass> definitions, int maxAttempts) {
        this.names.addAll(names);
        this.definitions.addAll(definitions);
        this.configuredNames = List.copyOf(names);
        this.maxAttempts = maxAttempts;
        this.nextMaxAttempts = maxAttempts;
        this.longestDeadlineUs = longestDeadlineUs(definitions);
        this.nextLongestDeadlineUs = longestDeadlineUs;
    }

    /** Returns whether enough numbers are left for all new names. */
    public boolean hasNumbersFor(List<String> nextNames) {
        return names.size() + nextNames.stream().filter(name -> !names.contains(name)).count() <= MAX_NAMES;
    }

    /** Adds new definitions; until {@link #completeChange} the restrictions of both the old and the new ones apply. */
    public void beginChange(List<String> nextNames, List<RequestClass> newDefinitions, int newMaxAttempts) {
        for (int i = 0; i < nextNames.size(); i++) {
            int number = names.indexOf(nextNames.get(i));
            if (number < 0) {
                names.add(nextNames.get(i));
                definitions.add(newDefinitions.get(i));
            } else {
                definitions.set(number, stricter(definitions.get(number), newDefinitions.get(i)));
            }
            nextDefinitions.put(nextNames.get(i), newDefinitions.get(i));
        }
        configuredNames = List.copyOf(nextNames);
        maxAttempts = Math.min(maxAttempts, newMaxAttempts);
        nextMaxAttempts = newMaxAttempts;
        nextLongestDeadlineUs = longestDeadlineUs(newDefinitions);
        longestDeadlineUs = Math.min(longestDeadlineUs, nextLongestDeadlineUs);
        overlapping = true;
    }

    /** Completes the overlap: only the new definitions apply, and removed classes are no longer accepted. */
    public void completeChange() {
        nextDefinitions.forEach((name, each) -> definitions.set(names.indexOf(name), each));
        nextDefinitions = new LinkedHashMap<>();
        maxAttempts = nextMaxAttempts;
        longestDeadlineUs = nextLongestDeadlineUs;
        overlapping = false;
    }

    /** Returns the definitions in force by number, including those of removed classes. */
    public List<RequestClass> requestClasses() {
        return List.copyOf(definitions);
    }

    /**
     * Returns the longest deadline of the configured classes, in microseconds; the shorter of both during an overlap.
     * The platform's kill timeout follows from it, so a removed class does not count, however long its deadline was.
     */
    public long longestDeadlineUs() {
        return longestDeadlineUs;
    }

    private static long longestDeadlineUs(List<RequestClass> classes) {
        return classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /** Returns the names by number; null for those that are no longer accepted. */
    public List<String> acceptedNames() {
        List<String> accepted = new ArrayList<>(names);
        accepted.replaceAll(name -> overlapping || configuredNames.contains(name) ? name : null);
        return accepted;
    }

    /** Returns a copy with the maximum number of attempts that is in force. */
    public HostCapabilities withMaxAttempts(HostCapabilities capabilities) {
        return new HostCapabilities(capabilities.cacheBypass(), capabilities.fillJoining(), capabilities.cancellation(),
                capabilities.hedging(), capabilities.probes(), capabilities.peerMessages(), maxAttempts,
                capabilities.maxOpenRequests(), capabilities.maxRetryAfterUs());
    }

    /** Returns the new definition, with the stricter of both rules for repeats and the longer of both deadlines. */
    private static RequestClass stricter(RequestClass old, RequestClass next) {
        Effect effect = old.effect().compareTo(next.effect()) > 0 ? old.effect() : next.effect();
        KeyScope scope = old.keyScope().compareTo(next.keyScope()) > 0 ? old.keyScope() : next.keyScope();
        long freshUs = Math.min(freshUs(old), freshUs(next));
        return new RequestClass(next.targetUs(), next.targetServiceFactor(),
                Math.max(old.deadlineUs(), next.deadlineUs()),
                next.value(), next.lateValue(), effect, scope, Math.min(windowUs(old), windowUs(next)),
                next.streamed(), next.passThrough(), next.inParts(), freshUs == Long.MAX_VALUE ? 0 : freshUs,
                Math.min(old.staleUsableUs(), next.staleUsableUs()), next.staleValue());
    }

    /** Returns the deduplication window, which restricts only classes whose repeats are deduplicated. */
    private static long windowUs(RequestClass requestClass) {
        return requestClass.effect() == Effect.DEDUPLICATED ? requestClass.windowUs() : Long.MAX_VALUE;
    }

    /** Returns how long a copy is fresh; 0 in the settings means until it is purged. */
    private static long freshUs(RequestClass requestClass) {
        return requestClass.freshUs() == 0 ? Long.MAX_VALUE : requestClass.freshUs();
    }
}
