package clovermill.director.operations;

import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.admin.decide.OutageCallResult;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.dataplane.server.ClientServer;
import clovermill.runtime.net.Clock;

/**
 * Executes operators' calls. A call to one process applies to its whole director: outages marked by the other process
 * are applied first, and a change is marked before the response is sent. Success is reported only for a recorded
 * change, since the change must survive this process. If the mark cannot be recorded, a cache to be disabled is still
 * disabled at this process, while a cache to be enabled stays disabled.
 *
 * @param registry the endpoints of this process
 * @param server the server, for its readiness
 * @param marks records outages for other processes and, if configured, for peers
 * @param syncOutages applies the outages that the other process has marked
 */
public record OperatorActions(EndpointRegistry registry, ClientServer server, Clock clock, OutageMarks marks,
        Runnable syncOutages) implements AdminService.Director {

    @Override
    public boolean ready() {
        return server.isReady();
    }

    @Override
    public OutageCallResult disable(String id) {
        syncOutages.run();
        if (!registry.isKnownCache(id)) {
            return OutageCallResult.UNKNOWN_CACHE;
        }
        if (!registry.isDisabled(id)) {
            marks.disable(id);
            registry.disable(id);
        }
        return recorded(id);
    }

    @Override
    public OutageCallResult enable(String id) {
        syncOutages.run();
        if (!registry.isKnownCache(id)) {
            return OutageCallResult.UNKNOWN_CACHE;
        }
        if (registry.isDisabled(id)) {
            long stampMs = clock.unixMillis();
            if (!marks.tryEnable(id, stampMs)) {
                return OutageCallResult.NOT_RECORDED;
            }
            registry.enable(id, stampMs);
        }
        return recorded(id);
    }

    private OutageCallResult recorded(String id) {
        return marks.isRecorded(id) ? OutageCallResult.DONE : OutageCallResult.NOT_RECORDED;
    }
}
