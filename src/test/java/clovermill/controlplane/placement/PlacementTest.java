package clovermill.controlplane.placement;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.routing.api.Availability;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.runtime.net.Clock;
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

    private long nowUs = 1000;
    private Placement placement;

    @BeforeEach
    void directorOfTheEdge() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        placement = new Placement(new Clock() {
            @Override
            public long micros() {
                return nowUs;
            }

            @Override
            public long unixMillis() {
                return nowUs / 1000;
            }
        }, config.settings(), config.zones(), config.classes(), false, null);
        placement.membersChanged(new Members(ListScope.FULL, List.of(member("s-1", 1, 0), member("p-1", 0, 1),
                member("o-1", 0, 2))));
    }

    private static Member member(String id, int zone, int kind) {
        return new Member(id, zone, kind, 0, Availability.HEALTHY, 1, 0);
    }

    private static ClientRequest ask(int group) {
        return new ClientRequest("00000000000000a1", 1, "page", "7f3a9c21e0b4d655", 0, group, 4, 1_000_000, false, null,
                null,
                new byte[0]);
    }

    private static String policy(String rules) {
        return TENANTS.formatted(rules);
    }

    @Test
    void nothingIsServedBeforeAnythingIsKnownAndAllOfItWithoutRules() {
        assertThat(placement.retryAfterMillis(ask(0))).isPositive();
        placement.holds(List.of("{}"), 0);
        assertThat(placement.retryAfterMillis(ask(0))).isEqualTo(UsageListener.ADMITTED);
        assertThat(placement.allowedMembers(ask(0)).test("s-1")).isTrue();
    }

    @Test
    void aRuleBindsTargetsAndSourcesAlikeAndOnlyItsTenant() {
        placement.holds(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(ask(9));
        assertThat(bound.test("s-1")).isTrue();
        assertThat(bound.test("p-1")).isFalse();
        assertThat(bound.test("o-1")).isFalse();
        assertThat(bound.test("s-unknown")).isFalse();
        assertThat(placement.allowedMembers(ask(10)).test("p-1")).isTrue();
    }

    @Test
    void inAChangeOnlyWhatBothAllowAndWhatIsBoundFollowsWhileARequestIsOpen() {
        placement.holds(List.of(policy(BOTH)), 10_000);
        Predicate<String> bound = placement.allowedMembers(ask(0));
        assertThat(bound.test("p-1")).isTrue();
        placement.holds(List.of(policy(BOTH), policy(EDGE)), 10_000);
        assertThat(bound.test("p-1")).isFalse();
        assertThat(bound.test("s-1")).isTrue();
        placement.holds(List.of(policy(EDGE), policy(HUBS)), 10_000);
        assertThat(bound.test("s-1")).isFalse();
        assertThat(placement.allowedMembers(ask(0)).test("o-1")).isFalse();
    }

    @Test
    void aLeaseThatRunsOutEndsAProtectedTenantAtThatMomentAndNoOther() {
        placement.holds(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(ask(0));
        nowUs = 9_999;
        assertThat(bound.test("s-1")).isTrue();
        nowUs = 10_000;
        assertThat(bound.test("s-1")).isFalse();
        assertThat(placement.retryAfterMillis(ask(0))).isPositive();
        assertThat(placement.retryAfterMillis(ask(10))).isEqualTo(UsageListener.ADMITTED);
        placement.holds(List.of(policy(LOOSE)), 10_000);
        assertThat(placement.allowedMembers(ask(0)).test("s-1")).isTrue();
        assertThat(placement.allowedMembers(ask(0)).test("p-1")).isFalse();
    }

    @Test
    void whereNobodyMayServeItIsTurnedAwayAtOnce() {
        placement.holds(List.of(policy("{\"tenant\":\"a\",\"sites\":[]}")), 10_000);
        assertThat(placement.retryAfterMillis(ask(0))).isPositive();
        placement.holds(List.of(policy(LOOSE)), 10_000);
        assertThat(placement.retryAfterMillis(ask(0))).isEqualTo(UsageListener.ADMITTED);
        placement.membersChanged(
                new Members(ListScope.CHANGES, List.of(new Member("s-1", 1, 0, 0, Availability.DRAINING, 1,
                        0))));
        assertThat(placement.retryAfterMillis(ask(0))).isPositive();
    }

    @Test
    void aMemberThatIsGoneMayNotBeMet() {
        placement.holds(List.of("{}"), 10_000);
        placement.membersChanged(
                new Members(ListScope.CHANGES, List.of(new Member("s-1", 1, 0, 0, Availability.GONE, 1, 0))));
        assertThat(placement.allowedMembers(ask(0)).test("s-1")).isFalse();
    }

    @Test
    void aCacheThatChangesItsZoneUnderTheSameIdIsJudgedByTheNewOne() {
        placement.holds(List.of(policy(EDGE)), 10_000);
        Predicate<String> bound = placement.allowedMembers(ask(0));
        placement.membersChanged(new Members(ListScope.CHANGES, List.of(member("s-1", 0, 0))));
        assertThat(bound.test("s-1")).isFalse();
    }

    @Test
    void whatCannotBeKeptIsRefusedWithItsPlace() {
        assertThat(placement.check(policy("{\"tenant\":\"a\",\"sites\":[\"edge\",\"moon\"]}")))
                .isEqualTo("/placement/0/sites/1: no location is called moon");
        assertThat(placement.check("{\"rota\":{}}")).startsWith("/rota: ");
        assertThat(placement.check("{\"placement\":[{\"tenant\":\"x\",\"sites\":[]}]}"))
                .startsWith("/placement/0/tenant: x");
        assertThat(placement.check("{\"tenants\":[{\"tenant\":\"x\",\"groups\":[9,300]}]}"))
                .startsWith("/tenants/0/groups");
        assertThat(placement.check(policy(EDGE))).isNull();
    }

    @Test
    void onlyWhatIsProtectedBeforeAndAfterMayChangeWithoutEveryDirector() {
        assertThat(placement.binding(policy(EDGE), policy(HUBS))).isTrue();
        assertThat(placement.binding(policy(EDGE), policy(LOOSE))).isFalse();
        assertThat(placement.binding(policy(EDGE), policy(""))).isFalse();
        assertThat(placement.binding("{}", policy(EDGE))).isFalse();
    }
}
