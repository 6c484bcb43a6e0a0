package clovermill.ledger;

import clovermill.config.tenants.TenantRules;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.UsageLimits;
import clovermill.ledger.decide.QueueAdmission;
import clovermill.ledger.decide.ClosingWatermark;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.ContentSource;
import clovermill.ledger.decide.MissedUsage;
import clovermill.ledger.decide.LedgerClock;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.RecurringTask;
import clovermill.storage.FolderLock;
import clovermill.storage.Volume;
import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * The ledger of a director in service. Lives on the loop and never waits for the disk: what the queue to the
 * writer does not take is counted exactly and written as a gap later, or the tenant's requests are turned away,
 * as the settings say for each tenant. {@link #open} blocks, before anything is served.
 */
public final class Ledger implements UsageListener, AutoCloseable {

    /** What the director tells of itself. {@code kinds} are the numbers of the member kinds parent and origin. */
    public record Director(String instance, List<String> classes, int parentKind, int originKind, int maxOpen) {}

    private static final System.Logger LOG = System.getLogger(Ledger.class.getName());
    private static final long TICK_US = 1_000_000;
    /** Tenants and periods whose missed records are told apart; a bound on memory, some 0.5 MB. */
    private static final int MOST_MISSED = 4096;
    /** About what a record takes. */
    private static final int ENTRY_BYTES = 90;
    /** Gaps that are queued at once, so that they do not fill the queue by themselves. */
    private static final int GAPS_AT_ONCE = 256;

    private final LedgerSettings settings;
    private final Director director;
    private final Clock clock;
    private final Deadlines deadlines;
    private final FolderLock lock;
    private final StagingArea stage;
    private final LedgerWriter writer;
    private final TenantRules rules;
    private final LedgerClock ledgerClock;
    private final ClosingWatermark closingWatermark;
    private final UsageLimits usageLimits;
    private final QueueAdmission queueAdmission;
    private final MissedUsage missed;
    private final Set<String> refusers;
    private final HashStream64 hash = Hashing.wyhashFinal4().hashStream();
    private final Map<String, Integer> kinds = new HashMap<>();
    /** Entries that may not be missed and wait for room: closings, steps of the clock. */
    private final ArrayDeque<Entry> owed = new ArrayDeque<>();
    private long seq;
    private long closings;
    private boolean refusing;
    private boolean gathering;

    private Ledger(LedgerSettings settings, Director director, Clock clock, Deadlines deadlines, FolderLock lock,
            StagingArea stage, LedgerWriter writer, LedgerStart start, long throughMs, Map<String, Double> shares) {
        this.settings = settings;
        this.director = director;
        this.clock = clock;
        this.deadlines = deadlines;
        this.lock = lock;
        this.stage = stage;
        this.writer = writer;
        this.rules = settings.rules(director.classes());
        this.ledgerClock = new LedgerClock(settings.clock().toleranceMs(), settings.clock().settleS() * 1000,
                start.lastMs(), clock.unixMillis(), clock.micros() / 1000);
        this.closingWatermark = new ClosingWatermark(settings.periodMs(), settings.latenessS() * 1000, throughMs);
        this.closings = start.closings();
        this.usageLimits = new UsageLimits(settings.usageLimits(director.classes()), shares, settings.periodMs());
        start.open().forEach((key, totals) -> usageLimits.restore(key.period(), key.tenant(), totals));
        this.queueAdmission =
                new QueueAdmission(StagingArea.pages(), 1 + director.maxOpen() * ENTRY_BYTES * StagingArea.pages()
                        / (settings.queueKb() << 10));
        this.missed = new MissedUsage(MOST_MISSED, settings.periodMs());
        this.refusers = Set.copyOf(settings.refuseWhenFull());
    }

    /**
     * Takes the folder, begins an epoch and starts to write. Throws an {@link IOException} with one clear line if
     * the folder is another's, cannot be written to or holds what is not known, and an {@link
     * IllegalArgumentException} if the settings name what there is not. {@code loop} runs a task on the loop.
     */
    public static Ledger open(LedgerSettings settings, Director director, Clock clock, Deadlines deadlines,
            Consumer<Runnable> loop, Volume volume) throws IOException {
        LedgerFolder folder = new LedgerFolder(Path.of(settings.folder()));
        String instance = settings.instance() != null ? settings.instance() : director.instance();
        settings.check(director.classes());
        boolean limited = !settings.limits().isEmpty();
        LedgerFolder.Identity identity = folder.claim(volume, instance);
        FolderLock lock = FolderLock.acquire(folder.writerLock());
        try {
            Path staged = staged(settings, identity);
            StagingRecovery.run(folder, identity, staged, volume);
            long epoch = folder.nextEpoch(volume);
            LedgerStart start = LedgerStart.of(folder, limited);
            long nowMs = Math.max(clock.unixMillis(), start.lastMs());
            long throughMs = start.throughMs() != Long.MIN_VALUE ? start.throughMs()
                    : Math.floorDiv(nowMs, settings.periodMs()) * settings.periodMs();
            StagingArea stage = new StagingArea(staged, identity.folder(), epoch, settings.queueKb() << 10);
            LedgerWriter writer = new LedgerWriter(folder, volume, stage, new LogHeader(identity.folder(), instance,
                    epoch, 1, 1, nowMs, throughMs, start.closings(), settings.periodMs(), director.classes()),
                    new LedgerWriter.Terms(settings.syncMs(), settings.syncKb() << 10,
                            (long) settings.segmentMb() << 20, settings.retryMs()));
            Map<String, Double> shares = settings.sharesFile() == null ? Map.of()
                    : SharesFile.read(Path.of(settings.sharesFile()), instance);
            Ledger ledger = new Ledger(settings, director, clock, deadlines, lock, stage, writer, start, throughMs,
                    shares);
            writer.start(settings.sharesFile() == null ? () -> {} : () -> ledger.rereadShares(instance, loop));
            LOG.log(Level.INFO, "the ledger of {0} in {1} begins epoch {2}", instance, folder.path(),
                    Long.toString(epoch));
            RecurringTask.start(deadlines, clock, TICK_US, ledger::tick);
            return ledger;
        } catch (IOException | RuntimeException failure) {
            lock.close();
            throw failure;
        }
    }

    /** The file of the stage; null where there is no such folder: the process's own memory serves then. */
    static Path staged(LedgerSettings settings, LedgerFolder.Identity identity) {
        Path in = Path.of(settings.stageFolder());
        return settings.stageFolder().isEmpty() || !Files.isDirectory(in) ? null
                : in.resolve("clovermill-" + identity.folder() + ".stage");
    }

    @Override
    public void membersChanged(Members news) {
        for (Member member : news.members()) {
            kinds.put(member.id(), member.kind());
        }
        if (news.scope() == ListScope.FULL) {
            kinds.keySet().retainAll(news.members().stream().map(Member::id).toList());
        }
    }

    @Override
    public long retryAfterMs(ClientRequest ask) {
        String tenant = rules.tenant(ask.requestClass(), ask.group());
        if (refusers.contains(tenant)
                && (queueAdmission.rejects(stage.used()) || writer.failing() || !missed.isEmpty())) {
            return settings.retryMs();
        }
        if (usageLimits.isEmpty()) {
            return ADMITTED;
        }
        long nowMs = ledgerClock.at(clock.micros() / 1000);
        long afterMs = usageLimits.retryAfterMs(tenant, ask.requestClass(), nowMs);
        if (afterMs == UsageLimits.ALLOWED) {
            usageLimits.requestAdmitted(tenant, nowMs);
            return ADMITTED;
        }
        return afterMs;
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        ClientRequest ask = usage.request();
        String tenant = rules.tenant(ask.requestClass(), ask.group());
        long takenMs = ledgerClock.at(usage.receivedUs() / 1000);
        if (usage.admitted()) {
            usageLimits.requestEnded(tenant, takenMs, usage.writtenBytes(), ledgerClock.at(usage.endedUs() / 1000));
        }
        ContentSource how = how(usage);
        // What a joined fill brought is counted with the request that began it.
        int fromOrigin = how == ContentSource.ORIGIN ? usage.bodyBytes() : 0;
        int fromParent =
                how == ContentSource.PARENT || how == ContentSource.ORIGIN && passed(usage, director.parentKind())
                        ? usage.bodyBytes() : 0;
        Entry.Used used = new Entry.Used(seq + 1, takenMs, clock.unixMillis(), usage.endedUs(),
                HexFormat.fromHexDigitsToLong(ask.id()), tryKey(ask), tenant, ask.requestClass(), usage.end(), how,
                usage.attempts(), ask.repeat(), usage.writtenBytes(), fromParent, fromOrigin);
        if (missed.isEmpty() && owed.isEmpty() && stage.offer(used)) {
            seq++;
            gather();
        } else {
            missed.add(used);
            settle();
        }
    }

    private boolean passed(UsageRecord usage, int kind) {
        return kind(usage.member()) == kind || kind(usage.source()) == kind;
    }

    private int kind(String member) {
        return member == null ? -1 : kinds.getOrDefault(member, -1);
    }

    /** By what the answer's note says and where it was asked for. */
    private ContentSource how(UsageRecord usage) {
        if (usage.member() == null) {
            return ContentSource.NONE;
        }
        Note note = usage.note();
        if (note == Note.JOINED) {
            return ContentSource.JOINED;
        }
        if (note == Note.ORIGIN_ASKED || kind(usage.member()) == director.originKind()) {
            return ContentSource.ORIGIN;
        }
        if (kind(usage.member()) == director.parentKind()) {
            return ContentSource.PARENT;
        }
        if (note == Note.FILLED) {
            int from = kind(usage.source());
            return from == director.originKind() ? ContentSource.ORIGIN
                    : from == director.parentKind() ? ContentSource.PARENT
                    : ContentSource.SIBLING;
        }
        return note == Note.STALE ? ContentSource.STALE : ContentSource.HIT;
    }

    /** The same for all tries of one request: by its idempotency key, or by what is asked for. */
    private long tryKey(ClientRequest ask) {
        hash.reset();
        return ask.idempotencyKey() != null ? hash.putString(ask.idempotencyKey()).getAsLong()
                : hash.putString(ask.object()).putInt(ask.part()).putInt(ask.requestClass()).getAsLong();
    }

    /** Hands over what is owed and what was missed, as far as there is room for it. */
    private void settle() {
        while (!owed.isEmpty() && stage.offer(owed.peek())) {
            owed.poll();
        }
        // Not before half of the pages are free: otherwise each record that fits would make a gap of its own.
        if (owed.isEmpty() && !missed.isEmpty() && stage.used() <= StagingArea.pages() / 2) {
            missed.drain(GAPS_AT_ONCE).forEach(this::owe);
            while (!owed.isEmpty() && stage.offer(owed.peek())) {
                owed.poll();
            }
        }
        gather();
    }

    private void owe(Entry.Gap gap) {
        owed.add(new Entry.Gap(++seq, gap.firstMs(), gap.lastMs(), gap.tenant(), gap.count(), gap.written(),
                gap.fromParent(), gap.fromOrigin()));
    }

    /** Hands over what is staged after a while, so that the writer is woken for many entries at once. */
    private void gather() {
        if (!gathering && !stage.isEmpty()) {
            gathering = true;
            deadlines.add(clock.micros() + settings.gatherMs() * 1000, () -> {
                gathering = false;
                stage.handOver();
                gather();
            });
        }
    }

    /** Once a second: compares the clocks, closes periods, and catches up on what was missed. */
    private void tick() {
        long monoMs = clock.micros() / 1000;
        long wallMs = clock.unixMillis();
        LedgerClock.Step step = ledgerClock.observe(wallMs, monoMs);
        if (step != null) {
            LOG.log(Level.WARNING, step.adopted() ? "the clock''s step of {0} ms has lasted and is taken over"
                    : "the system''s clock is {0} ms off the ledger''s; it is not followed unless that lasts",
                    Long.toString(step.stepMs()));
            owed.add(new Entry.ClockStep(++seq, wallMs, ledgerClock.at(monoMs), step.stepMs(), step.adopted()));
        }
        closingWatermark.advance(ledgerClock.at(monoMs))
                .ifPresent(throughMs -> owed.add(new Entry.Close(++seq, throughMs, ++closings,
                        ledgerClock.at(monoMs))));
        settle();
        boolean now = !missed.isEmpty();
        if (now != refusing) {
            refusing = now;
            LOG.log(Level.WARNING, now ? "the ledger''s queue is full: use is counted as missed"
                    : "the ledger''s queue has room again");
        }
    }

    /** After a closing, on the writer's thread: takes this instance's parts of the allowances as they are now. */
    private void rereadShares(String instance, Consumer<Runnable> loop) {
        try {
            Map<String, Double> changed = SharesFile.read(Path.of(settings.sharesFile()), instance);
            loop.accept(() -> usageLimits.setShares(changed));
        } catch (IOException bad) {
            LOG.log(Level.WARNING, "the shares stay as they are: {0}", bad.getMessage());
        }
    }

    /** Writes down all that is still owed, for as long as the settings allow, and lets go of the folder. */
    @Override
    public void close() throws IOException {
        missed.drain(Integer.MAX_VALUE).forEach(this::owe);
        long untilNs = System.nanoTime() + settings.leaveMs() * 1_000_000;
        do {
            while (!owed.isEmpty() && stage.offer(owed.peek())) {
                owed.poll();
            }
            stage.handOverLast();
        } while (!owed.isEmpty() && rested(untilNs));
        writer.close(Math.max(0, untilNs - System.nanoTime()) / 1_000_000);
        tellLost();
        lock.close();
    }

    /** Gaps for which there was no room to the end are known to nobody else: what they hold is told at least. */
    private void tellLost() {
        long requests = 0;
        long bytes = 0;
        for (Entry entry : owed) {
            requests += entry instanceof Entry.Gap gap ? gap.count() : 0;
            bytes += entry instanceof Entry.Gap gap ? gap.written() : 0;
        }
        if (!owed.isEmpty()) {
            LOG.log(Level.ERROR, "the ledger ends with {0} requests of {1} bytes that are not written down anywhere",
                    Long.toString(requests), Long.toString(bytes));
        }
    }

    /** Waits a little for the writer to give pages back; false when there is no time left. */
    private static boolean rested(long untilNs) {
        LockSupport.parkNanos(1_000_000);
        return System.nanoTime() < untilNs;
    }
}
