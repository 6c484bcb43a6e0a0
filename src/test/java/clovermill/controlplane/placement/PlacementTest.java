package clovermill.controlplane.placement;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlacementTest {

    private static final String TENANTS = "{\"tenants\":[{\"tenant\":\"a\",\"groups\":[0,9]},"
            + "{\"tenant\":\"b\",\"groups\":[10,19]}],"
            + "\"placement\":[%s]}";
    private static final String EDGE = "{\"tenant\":\"a\",\"sites\":[\"edge\"],\"protected\":true}";
    private static final String HUBS = "{\"tenant\":\"a\",\"sites\":[\"north\"],\"archive\":true,\"protected\":true}";
    private static final String BOTH = "{\"tenant\":\"a\","
            + "\"sites\":[\"edge\",\"north\"],\"archive\":true,\"protected\":true}";
    private static final String LOOSE = "{\"tenant\":\"a\",\"sites\":[\"edge\"]}";

    private final ManualClock clock = new ManualClock(1000);
    private Placement placement;

    @BeforeEach
    void directorOfTheEdge() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        placement = new Placement(clock, config.settings(), config.zones(), config.classes(), false, null);
        placement.membersChanged(new Members(ListScope.FULL, List.of(member("s-1", 1, 0), member("p-1", 0, 1),
                member("o-1", 0, 2))));
    }

    private static Member member(String id, int zone, int kind) {
        return new Member(id, zone, kind, 0, Availability.HEALTHY, 1, 0);
    }

    private static ClientRequest request(int group) {
        return new ClientRequest("00000000000000a1", 1, "page", "7f3a9c21e0b4d655", 0, group, 4, 1_000_000, false, null,
                null,
                new byte[0]);
    }

    private static String policy(String rules) {
        return TENANTS.formatted(rules);
    }

    @Test
    void nothingIsServedBeforeAPolicyIsKnownAndEverythingWithoutRules() {
        assertThat(placement.retryAfterMs(request(0))).isPositive();
        placement.enforce(List.of("{}"), 0);
        assertThat(placement.retryAfterMs(request(0))).isEqualTo(UsageListener.ADMITTED);
        assertThat(placement.allowedMembers(request(0)).test("s-1")).isTrue();
    }

    @Test
    void aRuleRestrictsTargetsAndSourcesOfItsTenantOnly() {
        placement.enforce(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(request(9));
        assertThat(bound.test("s-1")).isTrue();
        assertThat(bound.test("p-1")).isFalse();
        assertThat(bound.test("o-1")).isFalse();
        assertThat(bound.test("s-unknown")).isFalse();
        assertThat(placement.allowedMembers(request(10)).test("p-1")).isTrue();
    }

    @Test
    void duringAChangeOnlyWhatBothPoliciesAllowIsAllowedToOpenRequestsToo() {
        placement.enforce(List.of(policy(BOTH)), 10_000);
        Predicate<String> bound = placement.allowedMembers(request(0));
        assertThat(bound.test("p-1")).isTrue();
        placement.enforce(List.of(policy(BOTH), policy(EDGE)), 10_000);
        assertThat(bound.test("p-1")).isFalse();
        assertThat(bound.test("s-1")).isTrue();
        placement.enforce(List.of(policy(EDGE), policy(HUBS)), 10_000);
        assertThat(bound.test("s-1")).isFalse();
        assertThat(placement.allowedMembers(request(0)).test("o-1")).isFalse();
    }

    @Test
    void anExpiredLeaseStopsAGuardedTenantAtThatMomentAndNoOther() {
        placement.enforce(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(request(0));
        clock.passUs(8_999);
        assertThat(bound.test("s-1")).isTrue();
        clock.passUs(1);
        assertThat(bound.test("s-1")).isFalse();
        assertThat(placement.retryAfterMs(request(0))).isPositive();
        assertThat(placement.retryAfterMs(request(10))).isEqualTo(UsageListener.ADMITTED);
        placement.enforce(List.of(policy(LOOSE)), 10_000);
        assertThat(placement.allowedMembers(request(0)).test("s-1")).isTrue();
        assertThat(placement.allowedMembers(request(0)).test("p-1")).isFalse();
    }

    @Test
    void aRequestThatNoEndpointMayServeIsRejectedAtOnce() {
        placement.enforce(List.of(policy("{\"tenant\":\"a\",\"sites\":[]}")), 10_000);
        assertThat(placement.retryAfterMs(request(0))).isPositive();
        placement.enforce(List.of(policy(LOOSE)), 10_000);
        assertThat(placement.retryAfterMs(request(0))).isEqualTo(UsageListener.ADMITTED);
        placement.membersChanged(
                new Members(ListScope.CHANGES, List.of(new Member("s-1", 1, 0, 0, Availability.DRAINING, 1,
                        0))));
        assertThat(placement.retryAfterMs(request(0))).isPositive();
    }

    @Test
    void anEndpointThatIsGoneIsNotAllowed() {
        placement.enforce(List.of("{}"), 10_000);
        placement.membersChanged(
                new Members(ListScope.CHANGES, List.of(new Member("s-1", 1, 0, 0, Availability.GONE, 1, 0))));
        assertThat(placement.allowedMembers(request(0)).test("s-1")).isFalse();
    }

    @Test
    void aCacheThatChangesItsZoneUnderTheSameIdCountsInTheNewOne() {
        placement.enforce(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(request(0));
        placement.membersChanged(new Members(ListScope.CHANGES, List.of(member("s-1", 0, 0))));
        assertThat(bound.test("s-1")).isFalse();
    }

    @Test
    void aPolicyThatCannotBeEnforcedIsRejectedWithAPointer() {
        assertThat(placement.rejection(policy("{\"tenant\":\"a\",\"sites\":[\"edge\",\"moon\"]}")))
                .contains("/placement/0/sites/1: no location is called moon");
        assertThat(placement.rejection("{\"rota\":{}}").orElseThrow()).startsWith("/rota: ");
        assertThat(placement.rejection("{\"placement\":[{\"tenant\":\"x\",\"sites\":[]}]}").orElseThrow())
                .startsWith("/placement/0/tenant: x");
        assertThat(placement.rejection("{\"tenants\":[{\"tenant\":\"x\",\"groups\":[9,300]}]}").orElseThrow())
                .startsWith("/tenants/0/groups");
        assertThat(placement.rejection(policy(EDGE))).isEmpty();
    }

    @Test
    void onlyRulesGuardedBeforeAndAfterMayDifferWithoutEveryDirector() {
        assertThat(placement.guardsAllDifferences(policy(EDGE), policy(HUBS))).isTrue();
        assertThat(placement.guardsAllDifferences(policy(EDGE), policy(LOOSE))).isFalse();
        assertThat(placement.guardsAllDifferences(policy(EDGE), policy(""))).isFalse();
        assertThat(placement.guardsAllDifferences("{}", policy(EDGE))).isFalse();
    }
}
