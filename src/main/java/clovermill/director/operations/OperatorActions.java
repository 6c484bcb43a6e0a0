package clovermill.director.operations;

import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.dataplane.server.ClientServer;
import clovermill.runtime.net.Clock;

/**
 * What operators can have done. A call to one process counts for its whole director: what the other one was told before
 * is taken over first, and what changes is marked before the answer.
 */
public record OperatorActions(EndpointRegistry roster, ClientServer front, Clock clock, OutageMarks marks,
        Runnable catchUp)
        implements AdminService.Director {

    @Override
    public boolean ready() {
        return front.ready();
    }

    @Override
    public boolean disable(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return false;
        }
        if (!roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        }
        return true;
    }

    @Override
    public boolean enable(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return false;
        }
        if (roster.isOut(id)) {
            long stampMs = clock.unixMillis();
            marks.putBack(id, stampMs);
            roster.putBack(id, stampMs);
        }
        return true;
    }
}
