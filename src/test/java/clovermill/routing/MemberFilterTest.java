package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.SendVia;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A request's member filter applies to its targets, sources and retries. */
class MemberFilterTest {

    private static final List<String> IDS = List.of("s-1", "s-2", "s-3", "p-1", "p-2", "o-1");

    private static Member member(String id) {
        int kind = id.charAt(0) == 's' ? 0 : id.charAt(0) == 'p' ? 1 : 2;
        return new Member(id, kind == 0 ? 1 : 0, kind, 0, Availability.HEALTHY, 5, 0);
    }

    @Property(tries = 200)
    void targetsSourcesAndRetriesPassMemberFilter(@ForAll Set<@IntRange(max = 5) Integer> indexes,
            @ForAll long seed) throws Exception {
        RequestRouter policy =
                new RequestRouter(Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                        .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null).settings(), seed);
        List<String> allowed = indexes.stream().map(IDS::get).toList();
        List<Action> actions = new ArrayList<>();
        policy.handle(0, new MembersChanged(ListScope.FULL, IDS.stream().map(MemberFilterTest::member).toList()),
                actions::add);
        for (int i = 0; i < 40; i++) {
            String id = String.format("%016x", i);
            policy.handle(i * 10_000L,
                    new Request(id, 1, 0, seed + i % 3, 0, 0, 4, 1_000_000, false, allowed::contains),
                    actions::add);
            for (int attempt = 0; attempt < 8; attempt++) {
                Action last = actions.get(actions.size() - 1);
                if (!(last instanceof SendVia via && via.request().equals(id))) {
                    break;
                }
                assertThat(allowed).contains(via.member());
                assertThat(via.source().equals("o-1") && via.member().startsWith("p") || allowed.contains(via.source()))
                        .isTrue();
                policy.handle(i * 10_000 + attempt, new AttemptEnded(id, attempt, via.member(), i % 4 == 0 ? Result.OK
                        : Result.REJECTED, 900, i % 4 == 0, CacheStatus.NONE, 0, null), actions::add);
            }
        }
    }
}
