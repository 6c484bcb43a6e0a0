package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The changes that this director's operators have requested, forwarded to the leader again and again until each has its
 * result. Not thread-safe.
 */
final class ChangeForwarder {

    /** Beyond so many changes without a result a further one is refused at once. */
    private static final int MAX_PENDING = 16;
    private static final int RETRIES_PER_RENEWAL = 4;

    private final int self;
    private final long retryUs;
    private final MessageTransport transport;
    private final Map<Long, PolicyTaskMessage.ChangeRequested> pending = new LinkedHashMap<>();
    private long lastRequestId;
    private long nextSendUs;

    /** Numbers its requests from {@code firstRequestId} on, so that those of two processes differ. */
    ChangeForwarder(PolicyStoreTask.Membership membership, MessageTransport transport, long firstRequestId) {
        this.self = membership.self();
        this.retryUs = membership.timing().renewalUs() / RETRIES_PER_RENEWAL;
        this.transport = transport;
        this.lastRequestId = firstRequestId;
    }

    /** Accepts a change, or refuses it with a null result where too many are pending. */
    void request(PolicyTaskMessage.ChangeRequested change, long nowUs) {
        if (pending.size() >= MAX_PENDING) {
            change.onResult().accept(null, 0L);
        } else {
            pending.put(++lastRequestId, change);
            nextSendUs = nowUs;
        }
    }

    /** Passes a result on, unless the leader is still fetching the text. */
    void onChangeResponse(PolicyMessage.ChangeResponse response) {
        if (response.result() != ProposalResult.UNKNOWN) {
            PolicyTaskMessage.ChangeRequested change = pending.remove(response.requestId());
            if (change != null) {
                change.onResult().accept(response.result(), response.version());
            }
        }
    }

    /** Sends all pending changes to the leader, if that is due. */
    void tick(int leader, long nowUs) {
        if (!pending.isEmpty() && nowUs >= nextSendUs) {
            nextSendUs = nowUs + retryUs;
            pending.forEach((requestId, change) -> transport.send(leader, message(requestId, change)));
        }
    }

    /** When {@link #tick} is due next, or {@link Long#MAX_VALUE}. */
    long nextTickUs() {
        return pending.isEmpty() ? Long.MAX_VALUE : nextSendUs;
    }

    private PolicyMessage message(long requestId, PolicyTaskMessage.ChangeRequested change) {
        PolicyDocument policy = change.policy();
        return new PolicyMessage.ChangeRequest(self, requestId, change.baseVersion(),
                policy == null ? "" : policy.digest(), policy == null ? 0 : policy.parts().size());
    }

    /** The policy of a pending change, by its digest. */
    Optional<PolicyDocument> findDocument(String digest) {
        return pending.values().stream().map(PolicyTaskMessage.ChangeRequested::policy)
                .filter(each -> each != null && each.digest().equals(digest)).findFirst();
    }
}
