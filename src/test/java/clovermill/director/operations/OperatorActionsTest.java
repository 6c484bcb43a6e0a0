package clovermill.director.operations;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.admin.decide.AdminRequest;
import clovermill.controlplane.admin.decide.AdminResponse;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageFolder;
import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators' calls while the folder that the processes share is not writable. */
class OperatorActionsTest {

    private final ManualClock clock = new ManualClock();

    @TempDir
    private Path folder;

    private OutageFolder marks;
    private EndpointRegistry registry;
    private AdminService service;

    @BeforeEach
    void createDirectorWithOneCache() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Deadlines deadlines = new Deadlines();
        UpstreamPool pool = new UpstreamPool(new EventLoop(clock, deadlines), clock, deadlines, new Budget(1000),
                new UpstreamPool.Limits(1, 1, 1, 1));
        ProxyCore core = new ProxyCore((atUs, event, out) -> {}, config.settings(), clock, deadlines, pool);
        registry = new EndpointRegistry(clock, pool, core, new OutageRegistry(), config.settings().originKind());
        String list = "{\"cursor\":9,\"cmds\":[{\"cursor\":9,\"nodes\":{\"full\":true,\"servers\":["
                + "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"edge\",\"kind\":\"std\",\"cell\":1,"
                + "\"state\":\"ready\",\"weight\":6,\"started_ms\":0}]}}]}";
        registry.apply(DiscoveryEventParser.parse(Json.parse(list), config.zones(), config.kinds()));
        marks = new OutageFolder(folder, clock::micros);
        service = new AdminService(new OperatorActions(registry, null, clock, marks, marks::retryPending),
                Optional.empty());
    }

    private int call(String path, String id) {
        List<AdminResponse> answers = new ArrayList<>();
        service.handle(new AdminRequest("PUT", path, "{\"id\":\"" + id + "\"}"), answers::add);
        assertThat(answers).hasSize(1);
        return answers.get(0).status();
    }

    private Path blockWrites() throws Exception {
        return Files.createDirectory(folder.resolve("new-" + ProcessHandle.current().pid()));
    }

    private List<String> disabledAfterRestart() throws Exception {
        return List.copyOf(new OutageFolder(folder, clock::micros).readIfChanged().orElseThrow().disabledIds());
    }

    /** A change that is not in the folder is lost if the process is killed, so success must not be reported. */
    @Test
    void disablesACacheButReportsFailureIfTheOutageCannotBeRecorded() throws Exception {
        Path blockingFolder = blockWrites();
        assertThat(call("/caches/disable", "s-1")).isEqualTo(503);
        assertThat(registry.isDisabled("s-1")).isTrue();
        assertThat(call("/caches/disable", "s-1")).as("the call is repeated").isEqualTo(503);
        Files.delete(blockingFolder);
        clock.passMs(500);
        assertThat(call("/caches/disable", "s-1")).isEqualTo(200);
        assertThat(disabledAfterRestart()).containsExactly("s-1");
    }

    @Test
    void keepsACacheDisabledIfEnablingCannotBeRecorded() throws Exception {
        assertThat(call("/caches/disable", "s-1")).isEqualTo(200);
        Path blockingFolder = blockWrites();
        assertThat(call("/caches/enable", "s-1")).isEqualTo(503);
        assertThat(registry.isDisabled("s-1")).isTrue();
        assertThat(disabledAfterRestart()).containsExactly("s-1");
        Files.delete(blockingFolder);
        assertThat(call("/caches/enable", "s-1")).isEqualTo(200);
        assertThat(registry.isDisabled("s-1")).isFalse();
        assertThat(disabledAfterRestart()).isEmpty();
    }

    @Test
    void reportsAnUnknownCacheEvenIfTheFolderIsNotWritable() throws Exception {
        blockWrites();
        assertThat(call("/caches/disable", "s-7")).isEqualTo(404);
        assertThat(call("/caches/enable", "s-7")).isEqualTo(404);
    }
}
