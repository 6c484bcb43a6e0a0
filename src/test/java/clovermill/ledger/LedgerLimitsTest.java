package clovermill.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.ManualClock;
import clovermill.storage.FaultyVolume;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The limits of tenants as they are applied to requests before these are routed. */
class LedgerLimitsTest {

    private static final int LIMIT = 10;
    private static final ClientRequest PAGE = new ClientRequest("00000000000000a1", 0, "page", "7f3a9c21e0b4d655", 0, 0,
            1, 1_000_000, false, null, null, new byte[0]);

    @TempDir
    private Path folder;

    /** Guards against rejecting a tenant for requests that count as open though another listener rejected them. */
    @Test
    void requestsWhoseAdmissionIsWithdrawnUseUpNoLimit() throws Exception {
        LedgerSettings settings = new LedgerSettings(folder.resolve("l").toString(), null, null, null, 16,
                folder.toString(), 0L, 0L, null, 1, 1L, 1000L, null, "a", List.of(), List.of(),
                List.of(new LedgerSettings.Limit("a", null, (long) LIMIT, null, null)), null, null, null);
        try (Ledger ledger = Ledger.open(settings, new Ledger.Director("n1", List.of("page"), 1, 2, 4),
                new ManualClock(1_700_000_000_000_000L), new Deadlines(), Runnable::run, new FaultyVolume())) {
            for (int i = 0; i < 2 * LIMIT; i++) {
                assertThat(ledger.retryAfterMs(PAGE)).as("request %d", i).isEqualTo(UsageListener.ADMITTED);
                ledger.admissionWithdrawn(PAGE);
            }
            for (int i = 0; i < LIMIT; i++) {
                assertThat(ledger.retryAfterMs(PAGE)).isEqualTo(UsageListener.ADMITTED);
            }
            assertThat(ledger.retryAfterMs(PAGE)).isPositive();
        }
    }
}
