package clovermill;

import clovermill.spread.decide.SharedLoad;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * All decisions of one director. The types of its settings, events and actions stand in CacheRouter.java.
 *
 * <p>The ordinary path follows section 7 of "CS 7800 Lecture Notes: Consistent Hashing": each object has a
 * random tree whose nodes lie on the location's caches by consistent hashing; a request enters at a random
 * leaf and goes to the first node towards the root that is believed to hold the part; a node passed often
 * takes a copy. Sections: constants, request path, outcomes, beliefs, guards, membership, purges.
 */
public final class Policy implements CacheRouter {

    // ---- Constants ------------------------------------------------------------------------------

    /** Children of a tree node: the design's d. */
    private static final int ARITY = 2;
    /** Requests that pass a node before it takes a copy: the design's q. */
    private static final double PASSES = 8;
    /** The counts of passed nodes are halved this often (the design's default). */
    private static final long HALVING_US = 10_000_000;
    /** A belief that nothing confirms fades after this time (the design's default). */
    private static final long BELIEF_US = 30_000_000;
    /** Rank of every copy: the home rule's middle one; a lower one could not push out what the homes keep. */
    private static final int RANK = 2;
    /** Ring points of a member of mean weight: evens out the arcs of a few caches to about a tenth. */
    private static final int POINTS = 100;
    /** Parts remembered, the longest unused go first: bounds memory to some megabytes. */
    private static final int PARTS_KEPT = 30_000;
    /** Share of the latest outcome in a running average: about the last four count. */
    private static final double NEWS = 0.3;
    /** A member leaves the ring when its average of failures passes this: two failures in a row do. */
    private static final double SICK = 0.5;
    /** First wait until a member that left is tried with a real request, doubled up to the longest. */
    private static final long TRIAL_US = 1_000_000;
    private static final long LONGEST_TRIAL_US = 8_000_000;
    /** A loaded cache hands over when its answer would take this share of the wanted time. */
    private static final double HAND_OVER = 0.6;
    /** Span of running averages over time: some requests, though traffic is thin. */
    private static final double SPAN_US = 5_000_000;
    /** Answers stretched beyond this show the most that a member can do, others the least. */
    private static final double STRETCHED = 1.5;
    /** What a member that turns work away holds, in multiples of its room: its waiting room is full too. */
    private static final double FULL = 4;
    /** A member that turned work away is left alone for about the time of an answer. */
    private static final long CROWDED_US = 200_000;
    /** Part of all requests whose answer may be overdue for them to be sent twice, and how many at once. */
    private static final double HEDGED = 0.1;
    private static final double MOST_HEDGED = 10;
    /** Share of a cold member's budget that is used: weights are rough and directors uneven. */
    private static final double COLD_MARGIN = 0.7;
    /** Least time for which an attempt is worth its while: a round trip to a far hub. */
    private static final long LEAST_ATTEMPT_US = 20_000;
    /** No answer comes in less than this part of the time that its size asks for at full pace. */
    private static final double FASTEST = 0.8;
    /** A request that has no member left waits this long; a refused client is asked to, where it heeds. */
    private static final long PAUSE_US = 100_000;
    /** The token of the timer after which the list is asked for again. */
    private static final long WATCH_TOKEN = Long.MAX_VALUE;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private Settings settings;
    private final SplittableRandom random;
    private final Map<String, Node> nodes = new HashMap<>();
    /** Members that operators have taken out, by id: they may leave the list and come back meanwhile. */
    private List<String> takenOut = List.of();
    private final Map<String, Pending> requests = new HashMap<>();
    private final Map<Long, Pending> paused = new HashMap<>();
    /** Load until they end or their wanted time is over, lest what hangs looks like transfers; then late. */
    private final PriorityQueue<Attempt> counted = new PriorityQueue<>(Comparator.comparing(Attempt::dueUs));
    /** First attempts of requests that may be sent twice, by when their answer is overdue. */
    private final PriorityQueue<Attempt> hedges = new PriorityQueue<>(Comparator.comparing(Attempt::hedgeUs));
    private final Map<PartKey, Copies> parts = new LinkedHashMap<>(1024, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Copies> eldest) {
            return size() > PARTS_KEPT;
        }
    };
    /** Purges by object (a Long) or group (an Integer). */
    private final Map<Object, Purged> purges = new LinkedHashMap<>();
    private final Map<Integer, Double> meanWorkUs = new HashMap<>();
    private final Ring caches = new Ring();
    private final Ring parents = new Ring();
    private Node origin;
    /** The location's link in, which all fills share: nothing is told of it, so its room is learned. */
    private final Node link = new Node("link");
    private long startedUs = NEVER;
    private long now;
    private long nextToken;
    private double originInVain;
    private double hedgeCredit;
    private long originUs;
    private Consumer<Action> out;

    /** A router for one director; {@code seed} is the source of all its random numbers. */
    public Policy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        link.weight = settings.linkKbPerS() > 0 ? settings.linkKbPerS() / settings.paceKbPerS() : Double.NaN;
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        now = nowUs;
        out = actions;
        while (!counted.isEmpty() && counted.peek().dueUs <= now) {
            Attempt late = counted.poll();
            hold(late, -1);
            Node slow = late.choice.filler() == null ? late.choice.target : late.choice.source;
            if (slow.pacedUs <= late.sentUs) {
                paced(late, slow != late.choice.target, late.pending.aimUs);
            }
        }
        caches.advance(now, node -> !cold(node));
        parents.advance(now, node -> !cold(node));
        if (startedUs == NEVER && settings.listOnRequest()) {
            out.accept(new Watch(true));
        }
        startedUs = startedUs == NEVER ? now : startedUs;
        if (event instanceof Request request) {
            onRequest(request);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof ClientGone gone) {
            onGone(requests.get(gone.request()));
        } else if (event instanceof Members members) {
            onMembers(members);
        } else if (event instanceof Operated operated) {
            takenOut = operated.out();
        } else if (event instanceof Purge purge) {
            onPurge(purge);
        } else if (event instanceof Timer timer) {
            onTimer(timer);
        } else if (event instanceof Retuned retuned) {
            settings = retuned.settings();
        }
        // Only now: the event may have ended a request, or told of a member that drains.
        while (!hedges.isEmpty() && hedges.peek().hedgeUs() <= now) {
            hedge(hedges.poll());
        }
    }

    /** A request without a final answer or with attempts out; where no size is told, its work is learned. */
    private static final class Pending {
        final Request request;
        final RequestClass kind;
        final int attempts;
        final long deadlineUs;
        final long workUs;
        final long aimUs;
        final List<Node> failed = new ArrayList<>();
        final List<Node> erred = new ArrayList<>(2);
        final Map<Integer, Attempt> out = new HashMap<>(2);
        int sent;
        long mayHaveRunUs = NEVER;
        Node mayHaveRunAt;
        boolean over;

        Pending(Request request, Settings settings, long now, Map<Integer, Double> learnedUs) {
            this.request = request;
            this.kind = settings.classes().get(request.requestClass());
            this.attempts = settings.allowed().maxAttempts();
            this.deadlineUs = now + request.graceUs();
            double pace = settings.paceKbPerS();
            this.workUs = (long) (pace > 0 && request.sizeKb() > 0 ? request.sizeKb() / pace * 1e6
                    : learnedUs.getOrDefault(request.requestClass(), 0.0));
            this.aimUs = Math.min(kind.deadlineUs(), kind.aimUs() + (long) (kind.aimStretch() * workUs));
        }
    }

    /** Where an attempt goes and whence a miss is filled; a null source means a plain send. */
    private record Choice(Node target, Node source, int rank, boolean believed, boolean sparing) {

        /** The parent or origin that is expected to fill, or null. */
        Node filler() {
            return source == null || believed || source.role == Role.CACHE ? null : source;
        }
    }

    /** Stands for no choice because no member could answer in time. */
    private static final Choice LOADED = new Choice(null, null, 0, false, false);

    /** An attempt that is out, when it is late, and what target, filler and link held when it was sent. */
    private record Attempt(int index, Pending pending, Choice choice, long sentUs, long dueUs,
            double[] loads) {

        /** A hit that takes half of the wanted time is overdue; a fill may take a little longer. */
        long hedgeUs() {
            return sentUs + (long) ((choice.believed ? 0.5 : HAND_OVER) * (dueUs - sentUs));
        }
    }

    private record PartKey(long object, int part) { }

    // ---- Request path ---------------------------------------------------------------------------

    private void onRequest(Request request) {
        Pending pending = new Pending(request, settings, now, meanWorkUs);
        requests.put(request.id(), pending);
        meanWorkUs.merge(request.requestClass(), (double) pending.workUs,
                (mean, work) -> mean == 0 ? work : mean + (work - mean) / 64);
        hedgeCredit = Math.min(MOST_HEDGED, hedgeCredit + HEDGED);
        attempt(pending);
    }

    /**
     * Sends a request whose answer is overdue to another member too, which keeps no copy; the first answer
     * counts. Guards against answers that never arrive, which nothing else tells of. Where more than a small
     * part is overdue it is a jam, and none is sent twice. Could harm where a fleet is slow but complete.
     */
    private void hedge(Attempt first) {
        Pending pending = first.pending;
        if (pending.over || !pending.out.containsValue(first)) {
            return;
        }
        hedgeCredit = Math.max(-MOST_HEDGED, hedgeCredit - 1);
        if (hedgeCredit < 0 || spent(pending)) {
            return;
        }
        pending.failed.add(first.choice.target);
        if (pending.kind.effect() != Effect.IDEMPOTENT) {
            pending.mayHaveRunUs = first.sentUs; // it is in flight, which binds a repeat as if it had run
            pending.mayHaveRunAt = first.choice.target;
        }
        Choice choice = pending.kind.goesThrough() ? chooseForWrite(pending) : choose(pending);
        if (choice != null && choice != LOADED && mayRepeatAt(pending, choice.target)) {
            send(pending, new Choice(choice.target, choice.source, 0, choice.believed, choice.sparing));
        }
    }

    /** Whether no time or attempt is left; of the first and the present number the lesser counts. */
    private boolean spent(Pending pending) {
        return pending.deadlineUs - now < Math.max(LEAST_ATTEMPT_US, FASTEST * pending.workUs)
                || pending.sent >= Math.min(pending.attempts, settings.allowed().maxAttempts());
    }

    /** Sends the next attempt of a request, or ends it where none is left. */
    private void attempt(Pending pending) {
        if (spent(pending)) {
            end(pending);
            return;
        }
        Choice choice = pending.kind.goesThrough() ? chooseForWrite(pending) : choose(pending);
        if (choice == null) {
            pending.failed.clear();
            pause(pending);
        } else if (choice == LOADED || !mayRepeatAt(pending, choice.target)) {
            end(pending);
        } else {
            send(pending, choice);
        }
    }

    /** The walk: from a random leaf to the first node that holds the part or is due for a copy. */
    private Choice choose(Pending pending) {
        Request request = pending.request;
        int n = caches.members.size();
        Copies copies = copiesOf(request);
        double[] passes = copies.passes(n, now);
        int firstLeaf = n < 2 ? 0 : (n - 2) / ARITY + 1;
        int node = firstLeaf + random.nextInt(Math.max(1, n - firstLeaf));
        Node target = null;
        boolean promoted = false;
        while (node > 0 && target == null) {
            Node cache = cacheAt(node, pending);
            boolean holder = cache != null && holds(copies, cache, request);
            promoted = cache != null && !holder && passes[node] >= PASSES;
            target = holder || promoted ? cache : null;
            if (target == null) {
                passes[node] += pending.sent == 0 ? 1 : 0;
                node = (node - 1) / ARITY;
            }
        }
        Node home = cacheAt(0, pending);
        target = target == null ? home : target;
        if (target == null) {
            return caches.members.stream().anyMatch(c -> fit(c) && !cold(c)) ? null : straight(pending);
        }
        Node roomy = withRoom(target, copies, pending);
        if (roomy == null) {
            return LOADED;
        }
        boolean believed = holds(copies, roomy, request);
        Node source = promoted || roomy != target || believed && roomy != home
                ? holderAbove(node, roomy, copies, pending) : null;
        source = source == null ? parentFor(pending, !believed) : source;
        boolean outside = source != null && source.role != Role.CACHE;
        boolean sparing = outside && spareOrigin();
        // Where no fill would come in time, a cache may yet hold what fellows have asked it for.
        boolean none = source == null || sparing && source == origin
                || outside && !believed && !hasRoom(link, pending, 1);
        return new Choice(roomy, none ? roomy : source, RANK, believed, sparing);
    }

    /** The cache of a tree node: the first one clockwise from its point that can take this request. */
    private Node cacheAt(int treeNode, Pending pending) {
        long point = mix(pending.request.object() + treeNode * 0x9E3779B97F4A7C15L);
        return caches.firstFrom(point, node -> usable(node, pending));
    }

    /** The source of a promoted copy: the first node above, on another cache, that is believed to hold it. */
    private Node holderAbove(int from, Node target, Copies copies, Pending pending) {
        boolean allowed = settings.siblings() != Siblings.NONE;
        for (int node = from; allowed && node >= 0; node = Math.floorDiv(node - 1, ARITY)) {
            Node cache = cacheAt(node, pending);
            if (cache != null && cache != target && holds(copies, cache, pending.request)) {
                return cache;
            }
        }
        return null;
    }

    /**
     * Consistent hashing with bounded loads, against hot objects, uneven weights and slow or cold caches: one
     * whose answer would come late hands over within the object's tree, best to a holder; one that reports an
     * overload sheds a part of it, to half its strain. Null where none could answer in time: more work would
     * only make the rest late too. Could harm if a pace is misread.
     */
    private Node withRoom(Node target, Copies copies, Pending pending) {
        double full = strain(target);
        boolean sheds = target.shared.sheds(full, now, random);
        if (!sheds && hasRoom(target, pending, HAND_OVER)) {
            return target;
        }
        Node other = null;
        for (int treeNode = 0; treeNode < caches.members.size(); treeNode++) {
            Node cache = cacheAt(treeNode, pending);
            if (cache != null && hasRoom(cache, pending, HAND_OVER) && !(sheds && 2 * strain(cache) > full)) {
                if (holds(copies, cache, pending.request)) {
                    return cache;
                }
                other = other == null ? cache : other;
            }
        }
        return other != null ? other : hasRoom(target, pending, 1) ? target : null;
    }

    /**
     * The parent hashed over all listed; the next if unfit; the origin only when none is up. In time: where
     * the first is loaded, the next that is much less so, or null. Could harm if fills only look slow.
     */
    private Node parentFor(Pending pending, boolean inTime) {
        long point = mix(pending.request.object());
        Node parent = parents.firstFrom(point, node -> usable(node, pending));
        if (parent == null) {
            return origin != null && usable(origin, pending) ? origin : null;
        }
        return !inTime || hasRoom(parent, pending, 1) ? parent
                : parents.firstFrom(point, node -> usable(node, pending) && hasRoom(node, pending, HAND_OVER)
                        && 2 * strain(node) < strain(parent));
    }

    /** Past the caches, where none is fit and warm and it is allowed: to the parent, else to the origin. */
    private Choice straight(Pending pending) {
        Node parent = settings.allowed().straight() ? parentFor(pending, !pending.kind.goesThrough()) : null;
        return parent == null ? null : new Choice(parent, origin == null ? parent : origin, 0, false, false);
    }

    /** Requests that run at the origin go there straight where allowed, else with it as source. */
    private Choice chooseForWrite(Pending pending) {
        boolean up = origin != null && usable(origin, pending);
        if (settings.allowed().straight()) {
            return up ? new Choice(origin, null, 0, false, false) : straight(pending);
        }
        Node cache = cacheAt(0, pending);
        Node source = up ? origin : parentFor(pending, false);
        return cache == null || source == null ? null : new Choice(cache, source, 0, false, false);
    }

    private void send(Pending pending, Choice choice) {
        Request request = pending.request;
        Node target = choice.target;
        long left = pending.deadlineUs - now;
        int index = pending.sent++;
        charge(target, pending);
        if (choice.source != null && choice.source != target) {
            charge(choice.source, pending);
        }
        double[] loads = {load(target), choice.filler() == null ? 0 : load(choice.filler()), load(link)};
        Attempt attempt = new Attempt(index, pending, choice, now, now + pending.aimUs, loads);
        hold(attempt, 1);
        pending.out.put(index, attempt);
        counted.add(attempt);
        if (index == 0 && pending.kind.effect() != Effect.AT_MOST_ONCE && settings.allowed().secondCopies()) {
            hedges.add(attempt);
        }
        if (choice.source == null) {
            out.accept(new Send(request.id(), target.id, left));
            return;
        }
        Purged purged = purgeOf(request);
        boolean join = settings.allowed().joins() && purged == null;
        out.accept(new SendVia(request.id(), target.id, left, choice.source.id, choice.rank,
                maxAge(pending, purged), join, choice.sparing, false, pending.kind.freshUs() > 0));
    }

    // ---- Outcomes and further attempts ----------------------------------------------------------

    private void onOutcome(Outcome outcome) {
        Pending pending = requests.get(outcome.request());
        Attempt attempt = pending == null ? null : pending.out.remove(outcome.attempt());
        if (attempt == null) {
            return;
        }
        if (counted.remove(attempt)) {
            hold(attempt, -1);
        }
        if (outcome.load() != null) {
            attempt.choice.target.shared.reported(outcome.load().held(), now);
            link.shared.reported(outcome.load().linkUse() * link.weight, now);
        }
        learn(pending, attempt, outcome);
        if (outcome.over() || pending.over) {
            onGone(pending);
            return;
        }
        if (!outcome.result().neverRan() && pending.mayHaveRunUs == NEVER) {
            pending.mayHaveRunUs = attempt.sentUs;
            pending.mayHaveRunAt = attempt.choice.target;
        }
        if (!pending.out.isEmpty()) {
            return; // its other copy may still be answered
        }
        Choice choice = attempt.choice;
        if (outcome.note() == Note.SOURCE_LACKS && parents.members.contains(choice.source)
                || outcome.result() == Result.MISS && (choice.sparing || choice.source == choice.target)
                || pending.erred.size() > (settings.telling() == Telling.ALL ? 1 : 2)) {
            end(pending);
        } else if (pending.sent > 1 || outcome.note() == Note.ORIGIN_FAILED) {
            pause(pending);
        } else {
            attempt(pending);
        }
    }

    /** Counts an attempt at its target and, if it is expected to be a fill, at its source and the link. */
    private void hold(Attempt attempt, int more) {
        Choice choice = attempt.choice;
        for (Node node : choice.filler() == null ? List.of(choice.target)
                : List.of(choice.target, choice.filler(), link)) {
            node.held = node.held(now);
            node.heldUs = now;
            node.outstanding += more;
            node.triedUs = tellsPace(attempt.pending) ? now : node.triedUs;
        }
    }

    /** Nothing more is owed for a request; it is forgotten when its last attempt has ended. */
    private void over(Pending pending) {
        if (pending != null) {
            pending.over = true;
            if (pending.out.isEmpty()) {
                requests.remove(pending.request.id());
            }
        }
    }

    /** Nobody waits for what is still out: it would only take work from those that do. */
    private void onGone(Pending pending) {
        over(pending);
        if (pending != null && settings.allowed().cancelling()) {
            for (int index : List.copyOf(pending.out.keySet())) {
                out.accept(new Cancel(pending.request.id(), index));
            }
        }
    }

    /**
     * Waits a little where no member is left, if the request could still be answered after that. One for
     * which nothing was sent is turned away in the first half of its time: its client can still come again.
     */
    private void pause(Pending pending) {
        long left = pending.deadlineUs - now - PAUSE_US;
        long least = pending.sent > 0 ? 0 : pending.request.graceUs() / 2;
        if (left < Math.max(least, pending.workUs + LEAST_ATTEMPT_US)) {
            end(pending);
            return;
        }
        paused.put(nextToken, pending);
        out.accept(new SetTimer(PAUSE_US, nextToken++));
    }

    private void onTimer(Timer timer) {
        Pending pending = paused.remove(timer.token());
        if (pending != null && !pending.over) {
            attempt(pending);
        } else if (timer.token() == WATCH_TOKEN) {
            out.accept(new Watch(true));
        }
    }

    /** The final answer: a refusal where that is allowed, else a failure. */
    private void end(Pending pending) {
        over(pending);
        out.accept(!mayRefuse(pending) ? new Fail(pending.request.id())
                : new Refuse(pending.request.id(), Math.min(PAUSE_US, settings.allowed().maxRetryAfterUs())));
    }

    // ---- Beliefs: copies, health, pace ----------------------------------------------------------

    /** What is known of one part: who is believed to hold it since when, and how often a node was passed. */
    private static final class Copies {
        final Map<Node, Long> heldSince = new HashMap<>(4);
        private double[] passes = {};
        private long halvedUs;

        /** The counts of at least n nodes, halved as time went on. */
        double[] passes(int n, long now) {
            halvedUs = passes.length == 0 ? now : halvedUs;
            passes = passes.length < n ? Arrays.copyOf(passes, n) : passes;
            long halvings = (now - halvedUs) / HALVING_US;
            halvedUs += halvings * HALVING_US;
            for (int i = 0; halvings > 0 && i < passes.length; i++) {
                passes[i] /= 1L << Math.min(62, halvings);
            }
            return passes;
        }
    }

    /** Whether a cache is believed to hold a part: confirmed lately, since its start and since any purge. */
    private boolean holds(Copies copies, Node cache, Request request) {
        long since = copies.heldSince.getOrDefault(cache, NEVER);
        return now - since <= BELIEF_US && since >= cache.startedUs
                && after(purges.get(request.object()), since) && after(purges.get(request.group()), since);
    }

    private static boolean after(Purged purged, long since) {
        return purged == null || since > purged.toldUs;
    }

    private void believe(Pending pending, Node cache, boolean holds) {
        copiesOf(pending.request).heldSince.put(cache, holds ? now : NEVER);
    }

    private Copies copiesOf(Request request) {
        return parts.computeIfAbsent(new PartKey(request.object(), request.part()), key -> new Copies());
    }

    private void learn(Pending pending, Attempt attempt, Outcome outcome) {
        Choice choice = attempt.choice;
        Node cache = choice.target;
        boolean filled = outcome.result() == Result.OK && switch (outcome.note()) {
            case FILLED, ORIGIN_ASKED, JOINED -> true;
            default -> settings.telling() == Telling.NONE && !choice.believed;
        };
        if (choice.rank > 0 && outcome.result() != Result.CANCELLED && outcome.result() != Result.NOT_SENT) {
            believe(pending, cache, outcome.result() == Result.OK);
        }
        if (cache == origin || outcome.note() == Note.ORIGIN_ASKED || outcome.note() == Note.ORIGIN_FAILED
                || choice.source == origin && outcome.note() == Note.SOURCE_REFUSED
                || choice.filler() != null && !choice.sparing && (filled && settings.telling() != Telling.ALL
                || outcome.result() == Result.TIMED_OUT && choice.source.answeredUs > attempt.sentUs)) {
            boolean vain = outcome.result() != Result.OK
                    || outcome.elapsedUs() > pending.aimUs && 2 * outcome.waitedUs() > outcome.elapsedUs();
            originInVain += NEWS * ((vain ? 1 : 0) - originInVain);
            originUs = now;
        }
        switch (outcome.result()) {
            case OK -> {
                served(cache, pending);
                if (!filled && pending.request.sizeKb() <= 0) { // a hit's time: rises slower than it falls
                    meanWorkUs.merge(pending.request.requestClass(), (double) outcome.elapsedUs()
                            - outcome.waitedUs(), (m, w) -> m == 0 ? w : m + (w - m) / (w > m ? 256 : 64));
                }
                if (!filled || choice.filler() != null) {
                    paced(attempt, filled, outcome.elapsedUs() - outcome.waitedUs());
                }
                if (filled && choice.filler() != null) {
                    served(choice.source, pending);
                    succeeded(choice.source);
                }
                succeeded(cache);
                pending.erred.forEach(erred -> failed(erred, NEWS, false));
            }
            case CANCELLED, NOT_SENT -> { }
            default -> blame(pending, attempt, outcome);
        }
    }

    /** Only the time of a large answer is made by pace. */
    private static boolean tellsPace(Pending pending) {
        return 2 * pending.workUs >= pending.kind.aimUs();
    }

    /**
     * Learns how many transfers a member can hold at full pace, from how much an answer was stretched and how
     * many shared it: a slow or cold cache, a full link and a crowded hub all show in it. What is known to be
     * the hub's doing tells nothing of the link.
     */
    private void paced(Attempt attempt, boolean filled, long elapsedUs) {
        double stretch = Math.max(1, (double) elapsedUs / attempt.pending.workUs);
        Node source = attempt.choice.source;
        boolean known = filled && attempt.loads[1] + 1 >= Math.max(STRETCHED, stretch) * room(source);
        for (int i = filled ? 1 : 0; tellsPace(attempt.pending) && i < (!filled ? 1 : known ? 2 : 3); i++) {
            Node node = i == 0 ? attempt.choice.target : i == 1 ? source : link;
            node.pacedUs = now;
            double shown = ((attempt.loads[i] + load(node)) / 2 + 1) / stretch;
            if (node.room == 0 && stretch > STRETCHED) {
                node.room = shown;
            } else if (node.room > 0 && (shown > room(node) || stretch > STRETCHED)) {
                node.room = room(node) + NEWS * (shown - room(node));
            }
        }
    }

    /** A member that turned work away is left alone for a little and has less room than was thought. */
    private void crowded(Node node) {
        node.crowdedUntilUs = now + CROWDED_US;
        node.room = Math.min(room(node), (load(node) + 1) / FULL);
    }

    /**
     * Transfers at a member: those of this director that are out, and its fellows', by reports; where there
     * are none, for each fellow what this one has out there on average, since all see the same clients.
     */
    private double load(Node node) {
        List<Integer> crew = settings.directorsByZone();
        int sharers = node.role == Role.ORIGIN ? 1
                : node.role == Role.PARENT || settings.zone() >= crew.size() ? settings.directors()
                : crew.get(settings.zone());
        double known = 1 - Math.exp(-Math.max(1, now - startedUs) / SPAN_US);
        double guess = Math.max(0, sharers - 1) * node.held(now) / known;
        return node.outstanding + node.shared.fellows(node.held(now), guess, now);
    }

    /**
     * Whether a member, its pace shared among all it holds, would answer in time; a full margin is left where
     * its load is fellows' and so only guessed.
     */
    private boolean hasRoom(Node node, Pending pending, double share) {
        double most = HAND_OVER + (node.outstanding + 1) / (load(node) + 1) * (share - HAND_OVER);
        return pending.workUs * Math.max(1, strain(node)) <= most * pending.aimUs;
    }

    /** Transfers at a member with one more, for each that it can hold at full pace. */
    private double strain(Node node) {
        return now < node.crowdedUntilUs ? Double.POSITIVE_INFINITY : (load(node) + 1) / room(node);
    }

    /**
     * The transfers that a member can hold at full pace: what is told, or what was learned. Little room grows
     * again while nothing is sent that could tell of more, else a member left alone for it stays so.
     */
    private double room(Node node) {
        boolean told = node == link ? link.weight > 0 : settings.weighted() && node.role == Role.CACHE;
        double most = told ? node.weight : Double.POSITIVE_INFINITY;
        return node.room == 0 || node == link && link.shared.told() ? most
                : node.room * Math.exp((now - node.triedUs) / (double) LONGEST_TRIAL_US);
    }

    /**
     * Whether a fill is to take only what its parent holds, by chance: the more of what was asked of the
     * origin of late (of all fills, where no more is told) was in vain or late, the more often. Guards it
     * while it is slow, turns work away or has stopped; could harm where single parents fail.
     */
    private boolean spareOrigin() {
        return random.nextDouble() < originInVain * Math.exp(-(now - originUs) / SPAN_US);
    }

    /** Blames what failed by the note; where none is told, a fill's source, then the cache, or the link. */
    private void blame(Pending pending, Attempt attempt, Outcome outcome) {
        Node cache = attempt.choice.target;
        Node source = attempt.choice.source == null ? cache : attempt.choice.source;
        boolean untold = settings.telling() == Telling.NONE && attempt.choice.filler() != null;
        boolean ofSource = switch (outcome.note()) {
            case SOURCE_REFUSED, SOURCE_UNREACHED, SOURCE_LACKS -> true;
            default -> outcome.result() == Result.ERROR ? settings.telling() != Telling.ALL
                    && attempt.choice.filler() != null && pending.erred.isEmpty()
                    : untold && outcome.result() == Result.TIMED_OUT;
        };
        switch (outcome.note()) {
            case SOURCE_REFUSED -> crowded(source);
            case SOURCE_UNREACHED -> silent(source, attempt);
            case SOURCE_LACKS -> believe(pending, source, false);
            case ORIGIN_FAILED -> silent(origin, attempt);
            case NO_PLACE -> crowded(link);
            default -> blame(ofSource ? source : untold && outcome.result() == Result.REFUSED ? link : cache,
                    attempt, outcome.result());
        }
        if (outcome.result() == Result.TIMED_OUT && attempt.choice.filler() != null) {
            silent(source, attempt);
        }
        if (outcome.note() != Note.ORIGIN_FAILED) {
            pending.failed.add(ofSource ? source : cache);
        }
    }

    /** An error speaks against a member once another serves the request, which may be at fault itself. */
    private void blame(Node cache, Attempt attempt, Result result) {
        switch (result) {
            case REFUSED -> crowded(cache);
            case UNCONNECTED -> failed(cache, 1, true);
            case BROKEN -> broke(cache);
            case TIMED_OUT -> silent(cache, attempt);
            case ERROR -> attempt.pending.erred.add(cache);
            default -> { }
        }
    }

    /** An attempt that ran out of time speaks against a member only if that has answered nothing since. */
    private void silent(Node node, Attempt attempt) {
        if (node != null && node.answeredUs <= attempt.sentUs) {
            failed(node, NEWS, false);
        }
    }

    /**
     * A broken connection ends all that was out on it: one failure and no proof of a restart, after which the
     * next is refused. Could harm where members break at every request and still accept.
     */
    private void broke(Node node) {
        if (now - node.brokeUs >= CROWDED_US) {
            node.brokeUs = now;
            failed(node, NEWS, false);
        }
    }

    private void failed(Node node, double share, boolean lost) {
        node.lost |= lost;
        node.failures += share * (1 - node.failures);
        if (node.failures > SICK) {
            if (!node.sick && node.trialUs == 0) {
                out.accept(new Log("left the ring: " + node.role + " " + node.id));
            }
            node.sick = true;
            node.trialUs = Math.min(LONGEST_TRIAL_US, Math.max(TRIAL_US, 2 * node.trialUs));
            node.nextTrialUs = now + node.trialUs;
        }
    }

    /**
     * A member that answers after it was lost may have restarted, empty and cold, before the list tells it:
     * it is taken to have started now. Could harm after a broken network path: some seconds of less work.
     */
    private void succeeded(Node node) {
        node.failures *= 1 - NEWS;
        node.answeredUs = now;
        if (node.sick) {
            node.sick = false;
            node.failures = SICK / 2;
            if (node.lost) {
                started(node, now);
            }
        } else if (now - node.nextTrialUs > LONGEST_TRIAL_US) {
            node.trialUs = 0;
        }
        node.lost = false;
    }

    // ---- Guards for the rules -------------------------------------------------------------------

    /** Whether a member can take this request now: fit, not tried in vain, within its budget if cold. */
    private boolean usable(Node node, Pending pending) {
        return fit(node) && !pending.failed.contains(node) && (!cold(node) || coldCredit(node) >= 0);
    }

    /**
     * A sick member is out of the ring until a trial is due. Where more than half of its fellows are sick the
     * cause is shared (a link, a hub, plain overload): all stay in but those that could not be reached.
     */
    private boolean fit(Node node) {
        List<Node> fellows = ringOf(node).members;
        boolean mostSick = 2 * fellows.stream().filter(fellow -> fellow.sick).count() > fellows.size();
        return node.listed && (!node.sick || now >= node.nextTrialUs || node.failures < 1 && mostSick);
    }

    private Ring ringOf(Node node) {
        return node.role == Role.PARENT ? parents : caches;
    }

    private ColdRule ruleOf(Node node) {
        return node.role == Role.PARENT ? settings.parentCold() : settings.cold();
    }

    private boolean cold(Node node) {
        return node.role != Role.ORIGIN && node.startedUs > 0 && now - node.startedUs < ruleOf(node).warmUs();
    }

    private double workOf(Pending pending) {
        return Math.max(1, meanWorkUs.getOrDefault(pending.request.requestClass(), 0.0));
    }

    /**
     * The work that this director may still send to a cold member; it grows with the part that one can give.
     * Its full capacity is told nowhere: what warm members of like weight have served this director is a safe
     * estimate of its own share of it. A request may overdraw the credit, and the first credit is a random
     * debt of up to one request: so many directors, each with less than a request to send, keep the sum.
     */
    private double coldCredit(Node node) {
        ColdRule rule = ruleOf(node);
        double age = Math.max(0, (now + node.creditUs) / 2.0 - node.startedUs);
        double part = rule.from() + (1 - rule.from()) * Math.min(1, age / rule.warmUs());
        Ring ring = ringOf(node);
        double warmRate = ring.exposure == 0 ? 0 : ring.work / ring.exposure;
        double rate = COLD_MARGIN * rule.multiple() * part * warmRate * node.weight;
        node.credit = Math.min(0, node.credit + rate * (now - node.creditUs));
        node.creditUs = now;
        return node.credit;
    }

    /** Notes a member's start; what was known of its health and room is void. */
    private void started(Node node, long startedUs) {
        node.startedUs = startedUs;
        node.sick = false;
        node.failures = 0;
        node.trialUs = 0;
        node.room = 0;
        node.shared.forget();
        node.creditUs = now;
        node.credit = -random.nextDouble() * meanWorkUs.values().stream().max(Double::compare).orElse(0.0);
    }

    /** Charges an attempt to a cold member's credit, and as the one trial for a while to a sick one. */
    private void charge(Node node, Pending pending) {
        node.nextTrialUs = node.sick ? now + node.trialUs : node.nextTrialUs;
        node.credit -= workOf(pending);
    }

    /** Books what a warm member has served; work that it was only sent, or turned away, would flatter it. */
    private void served(Node node, Pending pending) {
        if (node.role != Role.ORIGIN && !cold(node)) {
            ringOf(node).work += workOf(pending);
        }
    }

    /** Effects: a further attempt only where none ran before or the repeat is recognised. */
    private boolean mayRepeatAt(Pending pending, Node target) {
        RequestClass kind = pending.kind;
        if (pending.mayHaveRunUs == NEVER || kind.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        // A repeat may still wait for its connection: the window must not close meanwhile.
        long spentUs = now - pending.mayHaveRunUs + settings.dialTimeoutUs();
        Node first = pending.mayHaveRunAt;
        return kind.effect() != Effect.AT_MOST_ONCE && spentUs < kind.windowUs() && switch (kind.keyScope()) {
            case ALL -> true;
            case ZONE -> first.zone == target.zone;
            case CELL -> first.cell == target.cell;
        };
    }

    private static boolean mayRefuse(Pending pending) {
        return pending.kind.effect() == Effect.IDEMPOTENT
                || pending.out.isEmpty() && pending.mayHaveRunUs == NEVER
                || pending.kind.effect() == Effect.DEDUPLICATED && pending.kind.keyScope() == KeyScope.ALL;
    }

    // ---- Membership -----------------------------------------------------------------------------

    private enum Role { CACHE, PARENT, ORIGIN }

    /** A member as this director knows it. */
    private static final class Node {
        final String id;
        Role role = Role.CACHE;
        int zone;
        int cell;
        double weight;
        long startedUs;
        boolean listed;
        int outstanding;
        final SharedLoad shared = new SharedLoad();
        double held;
        long heldUs;
        double room;
        long triedUs;
        double failures;
        boolean sick;
        boolean lost;
        long trialUs;
        long nextTrialUs;
        long crowdedUntilUs;
        long answeredUs = NEVER;
        long pacedUs = NEVER;
        long brokeUs = NEVER;
        double credit;
        long creditUs;

        Node(String id) {
            this.id = id;
        }

        /** Attempts that this director had out here on average of late. */
        double held(long now) {
            return outstanding + (held - outstanding) * Math.exp(-(now - heldUs) / SPAN_US);
        }
    }

    /** Consistent hashing: each member at many points, in proportion to its weight. */
    private static final class Ring {
        private final TreeMap<Long, Node> points = new TreeMap<>();
        List<Node> members = List.of();
        double weight;
        private double work;
        private double exposure;
        private long advancedUs;

        /** Takes over a list of members; what is known of the load stays. */
        void list(List<Node> listed) {
            members = listed;
            weight = members.stream().mapToDouble(node -> node.weight).sum();
            points.clear();
            for (Node node : members) {
                long count = Math.max(1, Math.round(POINTS * node.weight * members.size() / weight));
                long seed = hash(node.id);
                for (int i = 0; i < count; i++) {
                    points.put(mix(seed + i), node);
                }
            }
        }

        /** The first member clockwise from a point that will do, or null. */
        Node firstFrom(long point, Predicate<Node> willDo) {
            List<Node> refused = new ArrayList<>(4);
            for (Map<Long, Node> arc : List.of(points.tailMap(point), points.headMap(point))) {
                for (Node node : arc.values()) {
                    if (!refused.contains(node) && refused.add(node) && willDo.test(node)) {
                        return node;
                    }
                }
            }
            return null;
        }

        /**
         * Lets time pass for the average of what warm members serve. Both its sums fade with their time only:
         * what is known of capacity stays while the whole ring is cold.
         */
        void advance(long now, Predicate<Node> warm) {
            double span = now - advancedUs;
            if (span >= PAUSE_US) {
                double up = members.stream().mapToDouble(n -> n.sick || !warm.test(n) ? 0 : n.weight).sum();
                double fade = weight == 0 ? 1 : Math.exp(-span * up / weight / SPAN_US);
                work *= fade;
                exposure = advancedUs == 0 ? 0 : exposure * fade + up * span;
                advancedUs = now;
            }
        }
    }

    private void onMembers(Members news) {
        if (news.scope() == ListScope.FAILED && settings.listOnRequest()) {
            out.accept(new SetTimer(TRIAL_US, WATCH_TOKEN));
        }
        if (news.scope() == ListScope.FULL || news.scope() == ListScope.REMEMBERED) {
            nodes.values().forEach(node -> node.listed = false);
        }
        for (Member member : news.members()) {
            update(nodes.computeIfAbsent(member.id(), Node::new), member);
        }
        nodes.values().removeIf(node -> !node.listed && node.outstanding == 0);
        List<Node> listed = nodes.values().stream().filter(node -> node.listed)
                .sorted(Comparator.comparing(node -> node.id)).toList();
        caches.list(listed.stream().filter(n -> n.role == Role.CACHE && n.zone == settings.zone()).toList());
        parents.list(listed.stream().filter(node -> node.role == Role.PARENT).toList());
        origin = listed.stream().filter(node -> node.role == Role.ORIGIN).findFirst().orElse(null);
    }

    /** Takes over an entry of the list; a new start clears what was known of the member. */
    private void update(Node node, Member member) {
        node.role = member.kind() == settings.originKind() ? Role.ORIGIN
                : member.kind() == settings.parentKind() ? Role.PARENT : Role.CACHE;
        node.zone = member.zone();
        node.cell = member.cell();
        node.weight = member.weight() > 0 ? member.weight() : 1;
        node.listed = member.availability() == Availability.HEALTHY && !takenOut.contains(node.id);
        if (member.startedUs() > node.startedUs) {
            started(node, member.startedUs());
        }
    }

    /** A 64-bit hash of an id that is the same at every director. */
    private static long hash(String text) {
        return text.chars().asLongStream().reduce(0, (hash, letter) -> mix(hash ^ letter));
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    // ---- Purges ---------------------------------------------------------------------------------

    /** A purge: when it was made at the origin and when this director was told of it. */
    private record Purged(long madeUs, long toldUs) { }

    /** Kept, the latest last, until every belief from before it has faded. */
    private void onPurge(Purge purge) {
        Object key = purge.object() != null ? purge.object() : (Object) purge.group();
        Purged old = purges.remove(key);
        long madeUs = now - purge.ageUs();
        purges.put(key, new Purged(old == null ? madeUs : Math.max(old.madeUs, madeUs), now));
        while (now - purges.values().iterator().next().toldUs > BELIEF_US + settings.purgeDoneUs()) {
            purges.remove(purges.keySet().iterator().next());
        }
    }

    /** The latest purge of a request's object whose older copies may still be about, or null. */
    private Purged purgeOf(Request request) {
        Purged object = purges.get(request.object());
        Purged group = purges.get(request.group());
        Purged latest = object == null || group != null && group.madeUs > object.madeUs ? group : object;
        return latest == null || now - latest.toldUs > settings.purgeDoneUs() ? null : latest;
    }

    /** The greatest age that will do: the fresh time, and nothing from before a purge. */
    private long maxAge(Pending pending, Purged purged) {
        long fresh = pending.kind.freshUs();
        long since = purged == null ? fresh : Math.max(1, now - purged.madeUs - 1);
        return fresh == 0 ? since : Math.min(fresh, since);
    }
}
