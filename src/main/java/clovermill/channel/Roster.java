package clovermill.channel;

import clovermill.CacheRouter.Availability;
import clovermill.CacheRouter.ListScope;
import clovermill.CacheRouter.Member;
import clovermill.CacheRouter.Members;
import clovermill.CacheRouter.Operated;
import clovermill.CacheRouter.Purge;
import clovermill.cache.CachePool;
import clovermill.channel.Commands.Entry;
import clovermill.host.Host;
import clovermill.net.Clock;
import clovermill.outage.Outages;
import java.lang.System.Logger.Level;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Takes the events of the command channel and tells the module and the pool of connections. */
public final class Roster {

    private static final Logger LOG = System.getLogger(Roster.class.getName());
    private static final int MOST_KNOWN = 1000;

    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final StartTimes starts;
    private final PurgeAges purgeAges = new PurgeAges();
    /** Whether the marks of another process were read before: what changes in them later has just happened. */
    private boolean marksRead;
    private final Clock clock;
    private final CachePool pool;
    private final Host host;
    private final Outages outages;
    private final int originKind;
    /** Caches that were listed at some time: one that is gone just now may still be taken out or put back. */
    private final Map<String, Boolean> caches = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_KNOWN;
        }
    };

    /** {@code originKind} is the kind of the origin, which is no cache; caches that are out count as draining. */
    public Roster(Clock clock, CachePool pool, Host host, Outages outages, int originKind) {
        this.clock = clock;
        this.pool = pool;
        this.host = host;
        this.outages = outages;
        this.originKind = originKind;
        this.starts = new StartTimes(clock.micros(), clock.unixMillis());
    }

    /** Whether a cache of that id was ever told of. */
    public boolean knows(String id) {
        return caches.containsKey(id);
    }

    /** Whether a cache is out. */
    public boolean isOut(String id) {
        return outages.isOut(id);
    }

    /** From now on nothing more goes to that cache or is filled from it, until it is put back. */
    public void takeOut(String id) {
        if (outages.takeOut(id)) {
            changed(id);
            drop(Set.of(id));
        }
    }

    /**
     * The cache counts as the list tells again, and as started now: it was restarted meanwhile. {@code stampMs} is what
     * its return is marked with for others; it tells this return from others and is no time here.
     */
    public void putBack(String id, long stampMs) {
        if (outages.putBack(id, stampMs, clock.micros())) {
            changed(id);
        }
    }

    /** Takes over what another process of this director was told: who is out, and with which stamps others are back. */
    public void outages(Set<String> out, Map<String, Long> back) {
        for (String id : out) {
            takeOut(id);
        }
        for (String id : outages.allOut()) {
            if (!out.contains(id)) {
                putBack(id, back.getOrDefault(id, 0L));
            }
        }
        back.forEach((id, stampMs) -> outages.returned(id, stampMs, returnedUs(stampMs)));
        marksRead = true;
    }

    /** A return that is found marked at the first look may be long ago; a later one was made since the look before. */
    private long returnedUs(long stampMs) {
        return marksRead ? clock.micros() : starts.beforeStartUs(stampMs, clock.micros());
    }

    private void changed(String id) {
        host.tell(new Operated(List.copyOf(outages.allOut())));
        Entry entry = listed.get(id);
        if (entry != null) {
            host.tell(new Members(ListScope.CHANGES, List.of(member(entry))));
        }
    }

    /** Takes what was known at the start: one list, as remembered, and then the purges. */
    public void start(Commands known) {
        List<Commands.Drop> drops = new ArrayList<>();
        known.list().forEach(this::observeStamps);
        for (Commands.Command command : known.list()) {
            if (command instanceof Commands.Nodes nodes) {
                update(nodes, true);
            } else if (command instanceof Commands.Unusable unusable) {
                tell(unusable);
            } else if (command instanceof Commands.Drop drop) {
                drops.add(drop);
            }
        }
        host.tell(new Members(ListScope.REMEMBERED, listed.values().stream().map(this::member).toList()));
        long[] agesUs = PurgeAges.agesAtStartUs(drops.stream().map(Commands.Drop::whenMs).toList());
        for (int i = 0; i < agesUs.length; i++) {
            purge(drops.get(i), agesUs[i]);
        }
    }

    private void observeStamps(Commands.Command command) {
        if (command instanceof Commands.Nodes nodes) {
            nodes.entries().forEach(entry -> starts.observeStamp(entry.startedMs(), clock.micros()));
        } else if (command instanceof Commands.Drop drop) {
            starts.observeStamp(drop.whenMs(), clock.micros());
        }
    }

    /** Takes later events in their order. */
    public void apply(Commands news) {
        boolean first = news.answeredUs() == Commands.NEVER_ANSWERED_US;
        if (first) {
            news.list().forEach(this::observeStamps);
        }
        for (Commands.Command command : news.list()) {
            if (command instanceof Commands.Nodes nodes) {
                Set<String> unfit = update(nodes, first);
                host.tell(new Members(nodes.full() ? ListScope.FULL : ListScope.CHANGES,
                        nodes.entries().stream().map(this::member).toList()));
                drop(unfit);
            } else if (command instanceof Commands.Drop drop) {
                purge(drop, purgeAges.ageUs(drop.whenMs(), clock.micros(), news.answeredUs()));
            } else if (command instanceof Commands.Unusable unusable) {
                tell(unusable);
            }
        }
    }

    private static void tell(Commands.Unusable unusable) {
        LOG.log(Level.WARNING, "event {0} of the command channel cannot be used: {1}",
                Long.toString(unusable.cursor()), unusable.reason());
    }

    /** Whether there is anybody to send to. */
    public boolean known() {
        return !listed.isEmpty();
    }

    /** Takes over a list, {@code first} if it may tell of times before this process; returns who is to get no more. */
    private Set<String> update(Commands.Nodes nodes, boolean first) {
        Set<String> unfit = new HashSet<>();
        if (nodes.full()) {
            unfit.addAll(listed.keySet());
            listed.clear();
        }
        for (Entry entry : nodes.entries()) {
            String id = entry.member().id();
            if (first) {
                starts.startedBeforeUs(id, entry.startedMs(), clock.micros());
            }
            if (entry.member().kind() != originKind) {
                caches.put(id, true);
            }
            if (entry.member().availability() == Availability.HEALTHY && !outages.isOut(id)) {
                unfit.remove(id);
            } else {
                unfit.add(id);
            }
            if (entry.member().availability() == Availability.GONE) {
                listed.remove(id);
            } else {
                listed.put(id, entry);
                pool.listed(id, entry.address(), entry.startedMs());
            }
        }
        return unfit;
    }

    /**
     * What is queued for a member that drains or is gone, or for a fill from it, is withdrawn at once: the
     * time for that is short. The module has been told by then, so that it sends it elsewhere.
     */
    private void drop(Set<String> unfit) {
        if (!unfit.isEmpty()) {
            pool.withdraw(unfit);
        }
        for (String id : unfit) {
            if (!listed.containsKey(id)) {
                pool.gone(id);
            }
        }
    }

    /** The member on the module's clock, on which 0 means that it started long ago. */
    private Member member(Entry entry) {
        Member known = entry.member();
        long startedUs = outages.startedUs(known.id(),
                starts.startedUs(known.id(), entry.startedMs(), clock.micros()));
        return new Member(known.id(), known.zone(), known.kind(), known.cell(), known.availability(),
                known.weight(), startedUs);
    }

    /** What is queued for the object would take an older copy: the module, which knows by then, sends it anew. */
    private void purge(Commands.Drop drop, long ageUs) {
        host.tell(new Purge(drop.object(), drop.group(), ageUs));
        pool.withdraw(ask -> drop.object() == null ? ask.group() == drop.group()
                : Long.parseUnsignedLong(ask.object(), 16) == drop.object());
    }
}
