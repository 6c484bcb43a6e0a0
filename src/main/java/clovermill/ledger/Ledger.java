package clovermill.ledger;

import clovermill.config.tenants.TenantRules;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.ClosingWatermark;
import clovermill.ledger.decide.ContentSource;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.LedgerClock;
import clovermill.ledger.decide.MissedUsage;
import clovermill.ledger.decide.QueueAdmission;
import clovermill.ledger.decide.UsageLimits;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
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
 * The usage ledger of a running director. Runs on the event loop and never waits for the disk: what does not fit into
 * the queue to the writer is counted exactly and written as a gap entry later, or the tenant's requests are rejected,
 * as the settings say for each tenant. {@link #open} blocks; it runs before anything is served.
 */
public final class Ledger implements UsageListener, AutoCloseable {

    /**
     * The properties of the director. {@code parentKind} and {@code originKind} are the numbers of those member
     * kinds.
     */
    public record Director(String instance, List<String> classes, int parentKind, int originKind, int maxOpen) {}

    private static final System.Logger LOG = System.getLogger(Ledger.class.getName());
    private static final long TICK_US = 1_000_000;
    /**
     * The maximum number of tenant and period combinations whose missed records are counted separately; takes about
     * 0.5 MB.
     */
    private static final int MAX_MISSED_KEYS = 4096;
    /** The approximate size of a record. */
    private static final int ENTRY_BYTES = 90;
    /** The maximum number of gap entries queued at once, so that they do not fill the queue by themselves. */
    private static final int MAX_QUEUED_GAPS = 256;

    private final LedgerSettings settings;
    private final Director director;
    private final Clock clock;
    private final Deadlines deadlines;
    private final FolderLock lock;
    private final StagingArea staging;
    private final LedgerWriter writer;
    private final TenantRules rules;
    private final LedgerClock ledgerClock;
    private final ClosingWatermark closingWatermark;
    private final UsageLimits usageLimits;
    private final QueueAdmission queueAdmission;
    private final MissedUsage missed;
    private final Set<String> rejectedWhenFull;
    private final HashStream64 hash = Hashing.wyhashFinal4().hashStream();
    private final Map<String, Integer> kinds = new HashMap<>();
    /** Entries that must not be dropped and wait for space in the queue: gaps, closings, clock steps. */
    private final ArrayDeque<Entry> pending = new ArrayDeque<>();
    private long seq;
    private long closings;
    private boolean usageMissing;
    private boolean handOverScheduled;

    private Ledger(LedgerSettings settings, Director director, Clock clock, Deadlines deadlines, FolderLock lock,
            StagingArea staging, LedgerWriter writer, StartState start, long throughMs, Map<String, Double> shares) {
        this.settings = settings;
        this.director = director;
        this.clock = clock;
        this.deadlines = deadlines;
        this.lock = lock;
        this.staging = staging;
        this.writer = writer;
        this.rules = settings.rules(director.classes());
        this.ledgerClock = new LedgerClock(settings.clock().toleranceMs(), settings.clock().settleS() * 1000,
                start.lastMs(), clock.unixMillis(), clock.micros() / 1000);
        this.closingWatermark = new ClosingWatermark(settings.periodMs(), settings.latenessS() * 1000, throughMs);
        this.closings = start.closings();
        this.usageLimits = new UsageLimits(settings.usageLimits(director.classes()), shares, settings.periodMs());
        start.open().forEach((key, totals) -> usageLimits.restore(key.period(), key.tenant(), totals));
        this.queueAdmission =
                new QueueAdmission(StagingArea.pageCount(),
                        1 + director.maxOpen() * ENTRY_BYTES * StagingArea.pageCount() / (settings.queueKb() << 10));
        this.missed = new MissedUsage(MAX_MISSED_KEYS, settings.periodMs());
        this.rejectedWhenFull = Set.copyOf(settings.refuseWhenFull());
    }

    /**
     * Locks the folder, begins an epoch and starts the writer. {@code loop} runs a task on the event loop.
     *
     * @throws IOException if the folder belongs to another instance, cannot be written to or has unknown content
     * @throws IllegalArgumentException if the settings name an unknown class
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
            Path stagingFile = stagingFile(settings, identity);
            StagingRecovery.run(folder, identity, stagingFile, volume);
            long epoch = folder.nextEpoch(volume);
            StartState start = StartState.of(folder, limited);
            long nowMs = Math.max(clock.unixMillis(), start.lastMs());
            long throughMs = start.throughMs() != Long.MIN_VALUE ? start.throughMs()
                    : Math.floorDiv(nowMs, settings.periodMs()) * settings.periodMs();
            StagingArea staging = new StagingArea(stagingFile, identity.folder(), epoch, settings.queueKb() << 10);
            LedgerWriter writer = new LedgerWriter(folder, volume, staging, new LogHeader(identity.folder(), instance,
                    epoch, 1, 1, nowMs, throughMs, start.closings(), settings.periodMs(), director.classes()),
                    new LedgerWriter.Options(settings.syncMs(), settings.syncKb() << 10,
                            (long) settings.segmentMb() << 20, settings.retryMs()));
            Map<String, Double> shares = settings.sharesFile() == null ? Map.of()
                    : SharesFile.read(Path.of(settings.sharesFile()), instance);
            Ledger ledger = new Ledger(settings, director, clock, deadlines, lock, staging, writer, start, throughMs,
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

    /** Returns the staging file, or null without the staging folder: then entries are staged in the heap. */
    static Path stagingFile(LedgerSettings settings, LedgerFolder.Identity identity) {
        Path in = Path.of(settings.stageFolder());
        return settings.stageFolder().isEmpty() || !Files.isDirectory(in) ? null
                : in.resolve("clovermill-" + identity.folder() + ".stage");
    }

    @Override
    public void membersChanged(MembersChanged change) {
        for (Member member : change.members()) {
            kinds.put(member.id(), member.kind());
        }
        if (change.scope() == ListScope.FULL) {
            kinds.keySet().retainAll(change.members().stream().map(Member::id).toList());
        }
    }

    @Override
    public long retryAfterMs(ClientRequest request) {
        String tenant = rules.tenant(request.requestClass(), request.group());
        if (rejectedWhenFull.contains(tenant)
                && (queueAdmission.rejects(staging.usedPages()) || writer.isFailing() || !missed.isEmpty())) {
            return settings.retryMs();
        }
        if (usageLimits.isEmpty()) {
            return ADMITTED;
        }
        long nowMs = ledgerClock.at(clock.micros() / 1000);
        long retryAfterMs = usageLimits.retryAfterMs(tenant, request.requestClass(), nowMs);
        if (retryAfterMs == UsageLimits.ALLOWED) {
            usageLimits.requestAdmitted(tenant, nowMs);
            return ADMITTED;
        }
        return retryAfterMs;
    }

    @Override
    public void admissionWithdrawn(ClientRequest request) {
        String tenant = rules.tenant(request.requestClass(), request.group());
        usageLimits.admissionWithdrawn(tenant, ledgerClock.at(clock.micros() / 1000));
    }

    @Override
    public void requestEnded(UsageRecord usage) {
        ClientRequest request = usage.request();
        String tenant = rules.tenant(request.requestClass(), request.group());
        long receivedMs = ledgerClock.at(usage.receivedUs() / 1000);
        if (usage.admitted()) {
            usageLimits.requestEnded(tenant, receivedMs, usage.writtenBytes(), ledgerClock.at(usage.endedUs() / 1000));
        }
        ContentSource source = contentSource(usage);
        // The bytes of a joined fill are counted with the request that started it.
        int fromOrigin = source == ContentSource.ORIGIN ? usage.bodyBytes() : 0;
        int fromParent =
                source == ContentSource.PARENT
                        || source == ContentSource.ORIGIN && involves(usage, director.parentKind())
                                ? usage.bodyBytes() : 0;
        Entry.Used used = new Entry.Used(seq + 1, receivedMs, clock.unixMillis(), usage.endedUs(),
                HexFormat.fromHexDigitsToLong(request.id()), clientAttemptKey(request), tenant, request.requestClass(),
                usage.end(), source, usage.attempts(), request.repeat(), usage.writtenBytes(), fromParent, fromOrigin);
        if (missed.isEmpty() && pending.isEmpty() && staging.offer(used)) {
            seq++;
            scheduleHandOver();
        } else {
            missed.add(used);
            stagePending();
        }
    }

    private boolean involves(UsageRecord usage, int kind) {
        return kind(usage.member()) == kind || kind(usage.source()) == kind;
    }

    private int kind(String member) {
        return member == null ? -1 : kinds.getOrDefault(member, -1);
    }

    /** Returns the source of the response body, by its cache status and the kind of the member. */
    private ContentSource contentSource(UsageRecord usage) {
        if (usage.member() == null) {
            return ContentSource.NONE;
        }
        CacheStatus cacheStatus = usage.cacheStatus();
        if (cacheStatus == CacheStatus.COLLAPSED) {
            return ContentSource.JOINED;
        }
        if (cacheStatus == CacheStatus.FILLED_FROM_ORIGIN || kind(usage.member()) == director.originKind()) {
            return ContentSource.ORIGIN;
        }
        if (kind(usage.member()) == director.parentKind()) {
            return ContentSource.PARENT;
        }
        if (cacheStatus == CacheStatus.FILLED) {
            int from = kind(usage.source());
            return from == director.originKind() ? ContentSource.ORIGIN
                    : from == director.parentKind() ? ContentSource.PARENT
                    : ContentSource.SIBLING;
        }
        return cacheStatus == CacheStatus.STALE ? ContentSource.STALE : ContentSource.HIT;
    }

    /**
     * Returns the same key for all client attempts of one request: a hash of its idempotency key, or of the requested
     * object and class.
     */
    private long clientAttemptKey(ClientRequest request) {
        hash.reset();
        return request.idempotencyKey() != null ? hash.putString(request.idempotencyKey()).getAsLong()
                : hash.putString(request.object()).putInt(request.part()).putInt(request.requestClass()).getAsLong();
    }

    /** Stages pending entries and gaps, as far as there is space. */
    private void stagePending() {
        while (!pending.isEmpty() && staging.offer(pending.peek())) {
            pending.poll();
        }
        // Waits until half of the pages are free; otherwise each record that fits would lead to a gap entry of its
        // own.
        if (pending.isEmpty() && !missed.isEmpty() && staging.usedPages() <= StagingArea.pageCount() / 2) {
            missed.drain(MAX_QUEUED_GAPS).forEach(this::addPending);
            while (!pending.isEmpty() && staging.offer(pending.peek())) {
                pending.poll();
            }
        }
        scheduleHandOver();
    }

    private void addPending(Entry.Gap gap) {
        pending.add(new Entry.Gap(++seq, gap.firstMs(), gap.lastMs(), gap.tenant(), gap.count(), gap.written(),
                gap.fromParent(), gap.fromOrigin()));
    }

    /**
     * Schedules the handover of staged entries to the writer after a delay, so that it is woken for many entries at
     * once.
     */
    private void scheduleHandOver() {
        if (!handOverScheduled && !staging.isEmpty()) {
            handOverScheduled = true;
            deadlines.add(clock.micros() + settings.gatherMs() * 1000, () -> {
                handOverScheduled = false;
                staging.handOver();
                scheduleHandOver();
            });
        }
    }

    /** Runs once a second: compares the clocks, closes periods, and stages gaps for missed usage. */
    private void tick() {
        long monoMs = clock.micros() / 1000;
        long wallMs = clock.unixMillis();
        LedgerClock.Step step = ledgerClock.observe(wallMs, monoMs);
        if (step != null) {
            LOG.log(Level.WARNING, step.adopted() ? "the clock''s step of {0} ms has lasted and is adopted now"
                    : "the system clock differs from the ledger clock by {0} ms; the step is ignored unless it lasts",
                    Long.toString(step.stepMs()));
            pending.add(new Entry.ClockStep(++seq, wallMs, ledgerClock.at(monoMs), step.stepMs(), step.adopted()));
        }
        closingWatermark.advance(ledgerClock.at(monoMs))
                .ifPresent(throughMs -> pending.add(new Entry.Close(++seq, throughMs, ++closings,
                        ledgerClock.at(monoMs))));
        stagePending();
        boolean nowMissing = !missed.isEmpty();
        if (nowMissing != usageMissing) {
            usageMissing = nowMissing;
            LOG.log(Level.WARNING, nowMissing ? "the ledger''s queue is full: usage is counted as missed"
                    : "the ledger''s queue has free space again");
        }
    }

    /** Runs on the writer's thread after a closing: rereads this instance's shares of the usage limits. */
    private void rereadShares(String instance, Consumer<Runnable> loop) {
        try {
            Map<String, Double> newShares = SharesFile.read(Path.of(settings.sharesFile()), instance);
            loop.accept(() -> usageLimits.setShares(newShares));
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "cannot read the shares file; the shares stay unchanged: {0}", failure.getMessage());
        }
    }

    /** Writes all pending entries, for as long as the settings allow, and releases the folder. */
    @Override
    public void close() throws IOException {
        missed.drain(Integer.MAX_VALUE).forEach(this::addPending);
        long deadlineNs = System.nanoTime() + settings.leaveMs() * 1_000_000;
        do {
            while (!pending.isEmpty() && staging.offer(pending.peek())) {
                pending.poll();
            }
            staging.handOverNow();
        } while (!pending.isEmpty() && waitForPages(deadlineNs));
        writer.close(Math.max(0, deadlineNs - System.nanoTime()) / 1_000_000);
        logLostUsage();
        lock.close();
    }

    /** Logs the usage of gap entries that could not be staged, which is recorded nowhere else. */
    private void logLostUsage() {
        long requests = 0;
        long bytes = 0;
        for (Entry entry : pending) {
            requests += entry instanceof Entry.Gap gap ? gap.count() : 0;
            bytes += entry instanceof Entry.Gap gap ? gap.written() : 0;
        }
        if (!pending.isEmpty()) {
            LOG.log(Level.ERROR, "the ledger closes with {0} requests of {1} bytes that are not recorded anywhere",
                    Long.toString(requests), Long.toString(bytes));
        }
    }

    /** Waits briefly for the writer to release pages; returns false when the time is over. */
    private static boolean waitForPages(long deadlineNs) {
        LockSupport.parkNanos(1_000_000);
        return System.nanoTime() < deadlineNs;
    }
}
