package clovermill.controlplane.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.dataplane.proxy.UsageRecord;
import clovermill.routing.api.MembersChanged;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.ManualClock;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Admission by the fleet's limits before another listener, such as the ledger with its tenants' limits. */
class GossipServiceTest {

    private static final ClientRequest PAGE = new ClientRequest("00000000000000a1", 0, "page", "7f3a9c21e0b4d655", 0, 0,
            1, 1_000_000, false, null, null, new byte[0]);
    private static final ClientRequest ORDER = new ClientRequest("00000000000000a2", 1, "order", "7f3a9c21e0b4d655", 0,
            0, 1, 1_000_000, false, null, null, new byte[0]);

    private final ManualClock clock = new ManualClock();
    private final OpenRequests next = new OpenRequests();

    /** A listener that admits every request and counts those that it takes for open. */
    private static final class OpenRequests implements UsageListener {
        private int open;

        @Override
        public long retryAfterMs(ClientRequest request) {
            open++;
            return ADMITTED;
        }

        @Override
        public void admissionWithdrawn(ClientRequest request) {
            open--;
        }

        @Override
        public void requestEnded(UsageRecord usage) {
            if (usage.admitted()) {
                open--;
            }
        }

        @Override
        public void membersChanged(MembersChanged change) {}
    }

    private GossipService service(GossipSettings.Limit... limits) {
        GossipSettings settings = new GossipSettings(List.of("127.0.0.1:7946", "127.0.0.1:7947"), 0,
                "example/fleet.key", null, null, null, null, null, List.of(limits));
        return new GossipService(settings, List.of("page", "order"), 0, clock, new Deadlines(), next);
    }

    private static UsageRecord ended(ClientRequest request, boolean admitted) {
        return new UsageRecord(request, admitted, 0, 0, UsageRecord.End.REFUSED, 0, null, null, null, 0, 0);
    }

    /** Guards against counting a request as open for good that the next listener admitted and a limit rejected. */
    @Test
    void withdrawsTheAdmissionOfTheNextListenerIfALimitRejects() {
        GossipService service = service(new GossipSettings.Limit("no orders", "order", null, false, null, 0));
        assertThat(service.retryAfterMs(PAGE)).isEqualTo(UsageListener.ADMITTED);
        assertThat(service.retryAfterMs(ORDER)).isNotEqualTo(UsageListener.ADMITTED);
        service.requestEnded(ended(ORDER, false));
        assertThat(next.open).isEqualTo(1);
        service.requestEnded(ended(PAGE, true));
        assertThat(next.open).isZero();
    }

    /** A listener before this one rejects a request that all limits here have admitted. */
    @Test
    void returnsItsOwnPermitIfItsAdmissionIsWithdrawn() {
        GossipService service = service(new GossipSettings.Limit("open", null, null, false, null, 2));
        for (int i = 0; i < 10; i++) {
            assertThat(service.retryAfterMs(PAGE)).as("request %d", i).isEqualTo(UsageListener.ADMITTED);
            service.admissionWithdrawn(PAGE);
        }
        assertThat(next.open).isZero();
    }
}
