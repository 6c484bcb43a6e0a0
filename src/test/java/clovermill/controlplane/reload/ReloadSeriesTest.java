package clovermill.controlplane.reload;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.ManualClock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Series of new configurations in one process: whether one is taken depends on the operators' settings page and on the
 * configuration of the start, but not on those applied in between.
 */
class ReloadSeriesTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE = 1;
    private static final int ORDER = 2;
    /** Members that the settings page lets a class leave out. */
    private static final Set<String> OPTIONAL = Set.of("aim-stretch");

    @TempDir
    private Path folder;

    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);
    private final Deadlines deadlines = new Deadlines();
    private ObjectNode file;
    private ConfigReloader reloader;
    private Config applied;

    /** Reads the configuration of the start: three classes, of which only the last one, order, has no aim-stretch. */
    @BeforeEach
    void readInitial() throws Exception {
        file = (ObjectNode) MAPPER.readTree(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"));
    }

    private void start() throws Exception {
        Path path = write();
        Config initial = Config.load(path.toString(), null);
        reloader = new ConfigReloader(path, clock, deadlines, initial, config -> applied = config);
    }

    private Path write() throws Exception {
        return Files.writeString(folder.resolve("config.json"), MAPPER.writeValueAsString(file));
    }

    /** Reloads the file; returns whether it was applied. */
    private boolean isTaken() throws Exception {
        write();
        applied = null;
        reloader.reload();
        return applied != null;
    }

    private ObjectNode settings() {
        return (ObjectNode) file.get("settings");
    }

    private ArrayNode classes() {
        return (ArrayNode) settings().get("request-classes");
    }

    private ObjectNode requestClass(int index) {
        return (ObjectNode) classes().get(index);
    }

    /**
     * Guards against refusing for good a class without aim-stretch, which is optional, once all classes in force happen
     * to have it: the director went on with the old effects and repeated requests that must run once.
     */
    @Test
    void takesAClassBackWithoutAMemberThatAllClassesInForceHaveByChance() throws Exception {
        start();
        JsonNode order = classes().remove(ORDER);
        assertThat(isTaken()).isTrue();
        classes().add(order);
        requestClass(PAGE).put("effect", "at_most_once");
        assertThat(isTaken()).isTrue();
        assertThat(applied.classes()).containsExactly("video", "page", "order");
    }

    /** Guards against refusing a class that keeps its name and effect but no longer has an optional member. */
    @Test
    void takesAClassThatNoLongerHasAnOptionalMember() throws Exception {
        start();
        requestClass(PAGE).remove("aim-stretch");
        assertThat(isTaken()).isTrue();
    }

    /** Guards against asking an idempotent class for the members of deduplication once all in force have them. */
    @Test
    void takesIdempotentClassesBackAfterOnlyDeduplicatedOnesWereInForce() throws Exception {
        start();
        JsonNode video = classes().remove(0);
        JsonNode page = classes().remove(0);
        assertThat(isTaken()).isTrue();
        classes().add(video).add(page);
        assertThat(isTaken()).isTrue();
    }

    /** The same where the process was started with deduplicated classes only. */
    @Test
    void takesAnIdempotentClassWhereTheStartHadOnlyDeduplicatedOnes() throws Exception {
        JsonNode video = classes().remove(0);
        classes().remove(0);
        start();
        classes().add(video);
        assertThat(isTaken()).isTrue();
    }

    /** Guards against refusing the configuration of the start because a later one had a further member. */
    @Test
    void takesTheInitialConfigurationBackAfterOneWithAFurtherMember() throws Exception {
        start();
        settings().put("further", 1.0);
        requestClass(PAGE).put("further", 1.0);
        assertThat(isTaken()).isTrue();
        settings().remove("further");
        requestClass(PAGE).remove("further");
        assertThat(isTaken()).isTrue();
    }

    /** Guards against asking for a price that the settings page names with "if present". */
    @Test
    void takesAConfigurationWithoutAnOptionalPrice() throws Exception {
        settings().putObject("tariffs").put("fleet", 0.1).put("origin", 0.08);
        start();
        ((ObjectNode) settings().get("tariffs")).remove("fleet");
        assertThat(isTaken()).isTrue();
    }

    /** An optional member may be absent, but not of another type. */
    @Test
    void refusesAnOptionalMemberOfAnotherType() throws Exception {
        start();
        for (JsonNode wrong : List.of(MAPPER.readTree("[]"), MAPPER.readTree("{}"), MAPPER.readTree("true"))) {
            requestClass(ORDER).set("aim-stretch", wrong);
            assertThat(isTaken()).as("aim-stretch: %s", wrong).isFalse();
        }
    }

    /** Every other member of a class stays required, whichever classes are in force. */
    @Test
    void refusesAClassWithoutARequiredMemberWhicheverClassesAreInForce() throws Exception {
        start();
        assertEachRequiredMemberIsMissed();
        List<JsonNode> all = new ArrayList<>();
        classes().forEach(all::add);
        for (JsonNode only : all) {
            classes().removeAll().add(only);
            assertThat(isTaken()).isTrue();
            classes().removeAll().addAll(all);
            assertEachRequiredMemberIsMissed();
        }
    }

    /** A class that is new in the process, without the window in which its repeats are deduplicated. */
    @Test
    void refusesAFurtherDeduplicatedClassWithoutItsWindow() throws Exception {
        ObjectNode order = (ObjectNode) classes().remove(ORDER);
        start();
        classes().add(order.deepCopy());
        order = requestClass(ORDER);
        for (String member : List.of("window-us", "key-scope")) {
            JsonNode value = order.remove(member);
            assertThat(isTaken()).as("without %s", member).isFalse();
            order.set(member, value);
        }
        assertThat(isTaken()).isTrue();
    }

    private void assertEachRequiredMemberIsMissed() throws Exception {
        for (JsonNode each : classes()) {
            ObjectNode requestClass = (ObjectNode) each;
            List<String> members = new ArrayList<>();
            requestClass.fieldNames().forEachRemaining(members::add);
            members.removeAll(OPTIONAL);
            for (String member : members) {
                JsonNode value = requestClass.remove(member);
                assertThat(isTaken()).as("%s without %s", requestClass, member).isFalse();
                requestClass.set(member, value);
            }
        }
    }
}
