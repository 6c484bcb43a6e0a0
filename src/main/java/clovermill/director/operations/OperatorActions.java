package clovermill.director.operations;

import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.admin.decide.OutageCallResult;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.dataplane.server.ClientServer;
import clovermill.runtime.net.Clock;

/**
 * What operators can have done. A call to one process counts for its whole director: what the other one was told before
 * is taken over first, and what changes is marked before the answer. A yes is given only for what is recorded, since it
 * has to outlive this process. An outage that cannot be recorded is in force here all the same; a return is not.
 */
public record OperatorActions(EndpointRegistry roster, ClientServer front, Clock clock, OutageMarks marks,
        Runnable catchUp)
        implements AdminService.Director {

    @Override
    public boolean ready() {
        return front.ready();
    }

    @Override
    public OutageCallResult disable(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return OutageCallResult.UNKNOWN_CACHE;
        }
        if (!roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        }
        return marks.isRecorded(id) ? OutageCallResult.DONE : OutageCallResult.NOT_RECORDED;
    }

    @Override
    public OutageCallResult enable(String id) {
        catchUp.run();
        if (!roster.knows(id)) {
            return OutageCallResult.UNKNOWN_CACHE;
        }
        if (roster.isOut(id)) {
            long stampMs = clock.unixMillis();
            if (!marks.tryPutBack(id, stampMs)) {
                return OutageCallResult.NOT_RECORDED;
            }
            roster.putBack(id, stampMs);
        }
        return marks.isRecorded(id) ? OutageCallResult.DONE : OutageCallResult.NOT_RECORDED;
    }
}
