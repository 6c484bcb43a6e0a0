package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.ContentSource;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a complete director with a ledger: each request yields one record, whatever its outcome. */
class LedgerScenarioTest {

    @TempDir
    private Path folder;

    private LedgerSettings settings(List<LedgerSettings.Limit> limits) {
        return new LedgerSettings(folder.toString(), null, 60L, null, null, folder.toString(), null, null, null,
                null, null, null, null, null,
                List.of(new LedgerSettings.Tenant("north", "page", List.of(0, 99)),
                        new LedgerSettings.Tenant("south", null, List.of(100, 255))),
                null, limits, null, null, null);
    }

    private List<Entry> runScenario(LedgerSettings settings, String... lines) throws Exception {
        try (Scenario scenario = new Scenario(0, settings)) {
            scenario.run(List.of(lines));
        }
        List<Entry> entries = new ArrayList<>();
        new LogReader(new LedgerFolder(folder)).read(LogReader.Position.START, (header, entry) -> entries.add(entry));
        return entries;
    }

    private static Map<Long, Entry.Used> byRequest(List<Entry> entries) {
        return entries.stream().filter(Entry.Used.class::isInstance).map(Entry.Used.class::cast)
                .collect(Collectors.toMap(Entry.Used::request, Function.identity()));
    }

    @Test
    void writesOneRecordForEachOutcome() throws Exception {
        Map<Long, Entry.Used> used = byRequest(runScenario(settings(null),
                // Served, filled from the parent.
                "send c1 request 1 class=page id=00000000000000a1 wait=1000 key=7f3a9c21e0b4d655 bucket=17 kb=40",
                "expect s-1 want 00000000000000a1",
                "send s-1 00000000000000a1 DONE etag=t1,made=5,res=MISS,ttfb=3 | hello there",
                "expect c1 served 1",
                // The client's copy is still current.
                "send c1 request 2 class=page id=00000000000000a2 wait=1000 key=7f3a9c21e0b4d655 bucket=200 etag=t1",
                "expect s-1 want 00000000000000a2",
                "send s-1 00000000000000a2 KEEP etag=t1,made=5,res=HIT",
                "expect c1 served 2 notmod=1",
                // The client cancels the request.
                "send c1 request 3 class=page id=00000000000000a3 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect s-1 want 00000000000000a3",
                "send c1 give-up 3",
                "expect s-1 never_mind 00000000000000a3",
                // A write, which passes through to the origin, retried by the client.
                "send c1 request 4 class=order id=00000000000000a4 wait=1000 key=7f3a9c21e0b4d655 once=abc retry=1 | x",
                "expect o-1 want 00000000000000a4",
                "send o-1 00000000000000a4 DONE etag=t,made=5 | done",
                "expect c1 served 4",
                // A hit at the cache, without a copy at the client.
                "send c1 request 5 class=page id=00000000000000a5 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect s-1 want 00000000000000a5",
                "send s-1 00000000000000a5 DONE etag=t1,made=5,res=HIT | *7",
                "expect c1 served 5"));
        assertThat(used).hasSize(5);
        Entry.Used first = used.get(0xa1L);
        assertThat(first.tenant()).isEqualTo("north");
        assertThat(first.end()).isEqualTo(UsageRecord.End.SERVED);
        assertThat(first.written()).isEqualTo(11);
        assertThat(first.how()).isEqualTo(ContentSource.PARENT);
        assertThat(first.fromParent()).isEqualTo(11);
        assertThat(first.attempts()).isEqualTo(1);
        assertThat(used.get(0xa2L).end()).isEqualTo(UsageRecord.End.NOT_MODIFIED);
        assertThat(used.get(0xa2L).tenant()).isEqualTo("south");
        assertThat(used.get(0xa2L).written()).isZero();
        assertThat(used.get(0xa3L).end()).isEqualTo(UsageRecord.End.GONE);
        Entry.Used order = used.get(0xa4L);
        assertThat(order.repeat()).isTrue();
        assertThat(order.fromOrigin()).isEqualTo(4);
        assertThat(order.tenant()).isEqualTo("unassigned");
        assertThat(used.get(0xa5L).how()).isEqualTo(ContentSource.HIT);
    }

    /** Bytes that were not sent must not be billed: clients disconnect while large answers are written. */
    @Test
    void countsOnlyWrittenBytesOfAnAbortedAnswer() throws Exception {
        Collection<Entry.Used> used = byRequest(runScenario(settings(null),
                "times 30 send c1 request # class=video id=00000000000000# wait=6000 key=7f3a9c21e0b4d6# bucket=17",
                "times 30 expect s-1 want 00000000000000#",
                "close c1 deaf", "times 30 send s-1 00000000000000# DONE etag=t1,made=5,res=HIT | *239000",
                "close c1 reset", "wait 50")).values();
        assertThat(used).hasSize(30).filteredOn(each -> each.end() == UsageRecord.End.BROKEN_OFF).isNotEmpty()
                .allMatch(each -> each.written() < 239_000);
        assertThat(used).filteredOn(each -> each.end() == UsageRecord.End.SERVED)
                .allMatch(each -> each.written() == 239_000);
        assertThat(used).anyMatch(each -> each.written() > 0);
    }

    /** A tenant over its limit is rejected at once, also after a restart, while other tenants are served. */
    @Test
    void rejectsATenantOverItsLimitAlsoAfterARestart() throws Exception {
        LedgerSettings limited = settings(List.of(new LedgerSettings.Limit("north", 10L, null, null, null)));
        runScenario(limited,
                "send c1 request 1 class=page id=00000000000000a1 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect s-1 want 00000000000000a1",
                "send s-1 00000000000000a1 DONE etag=t1,made=5,res=HIT | hello there",
                "expect c1 served 1",
                "send c1 request 2 class=page id=00000000000000a2 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect c1 refused 2 after=500",
                "expect s-1 nothing");
        Map<Long, Entry.Used> used = byRequest(runScenario(limited,
                "send c1 request 1 class=page id=00000000000000b1 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect c1 refused 1 after=500",
                "send c1 request 2 class=page id=00000000000000b2 wait=1000 key=7f3a9c21e0b4d655 bucket=117",
                "expect s-1 want 00000000000000b2",
                "send s-1 00000000000000b2 DONE etag=t1,made=5,res=HIT | hello there",
                "expect c1 served 2",
                "wait 60000",
                "send c2 request 3 class=page id=00000000000000b3 wait=1000 key=7f3a9c21e0b4d655 bucket=17",
                "expect s-1 want 00000000000000b3",
                "send s-1 00000000000000b3 DONE etag=t1,made=5,res=HIT | hello there",
                "expect c2 served 3"));
        assertThat(used).hasSize(5);
        assertThat(used.get(0xb1L).end()).isEqualTo(UsageRecord.End.REFUSED);
        assertThat(used.get(0xb1L).attempts()).isZero();
    }
}
