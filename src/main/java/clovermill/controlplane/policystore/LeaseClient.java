package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.LeaseHolder;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.PolicyVersions;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A director's side of the leases: requests them from the leader, fetches the texts that a grant names, validates the
 * new policy, and publishes the policy in force. Not thread-safe.
 */
final class LeaseClient {

    /** After so many unanswered requests another voter is tried. */
    private static final int MAX_UNANSWERED = 2;
    private static final int PARTS_PER_FETCH = 16;
    /** The least interval between requests, however often the leader asks for one. */
    private static final long MIN_REQUEST_INTERVAL_US = 20_000;
    /** Retries of a fetch, and of a search for the leader, come so many times in one renewal interval. */
    private static final int RETRIES_PER_RENEWAL = 4;

    private final int self;
    private final long processId;
    private final List<Integer> voters;
    private final LeaseTiming timing;
    private final MessageTransport transport;
    private final Function<PolicyDocument, String> validate;
    private final Consumer<PolicyView> listener;
    private final PolicyVersions versions;
    private LeaseHolder holder = LeaseHolder.EMPTY;
    private PolicyView view = PolicyView.NONE;
    /** The grant whose texts are still being fetched, or null. */
    private PolicyMessage.LeaseGrant pendingGrant;
    private String rejection;
    private long lastTickUs = Long.MIN_VALUE / 2;
    private long nextRequestUs;
    private long nextFetchUs;
    private long requestId;
    private int leader;
    private int unanswered;

    /**
     * Has no lease yet; the first request leaves with the first tick.
     *
     * @param processId tells this process from earlier ones of the same director
     * @param validate the reason why a policy cannot be applied here, or null
     * @param listener is called with each new view
     */
    LeaseClient(PolicyStoreTask.Membership membership, long processId, PolicyVersions versions,
            MessageTransport transport, Function<PolicyDocument, String> validate, Consumer<PolicyView> listener) {
        this.self = membership.self();
        this.processId = processId;
        this.voters = membership.voters();
        this.timing = membership.timing();
        this.versions = versions;
        this.transport = transport;
        this.validate = validate;
        this.listener = listener;
        this.leader = voters.get(self % voters.size());
    }

    /** The voter that requests are sent to. */
    int leader() {
        return leader;
    }

    /** The policy in force here. */
    PolicyView view() {
        return view;
    }

    /** Sends what is due; returns when it is to be called again. */
    long tick(long nowUs) {
        if (nowUs < lastTickUs) { // a clock that runs back would extend the lease
            holder = LeaseHolder.EMPTY;
            publish();
        }
        lastTickUs = nowUs;
        if (nowUs >= nextRequestUs) {
            requestLease(nowUs);
        }
        if (pendingGrant != null && nowUs >= nextFetchUs) {
            fetchMissingParts(nowUs);
        }
        return pendingGrant == null ? nextRequestUs : Math.min(nextRequestUs, nextFetchUs);
    }

    private void requestLease(long nowUs) {
        if (++unanswered > MAX_UNANSWERED) {
            leader = voters.get((voters.indexOf(leader) + 1) % voters.size());
        }
        holder = holder.request(++requestId, nowUs);
        long confirmedStep = holder.step() == null ? PolicyTransition.NONE : holder.step().number();
        transport.send(leader, new PolicyMessage.LeaseRequest(self, processId, requestId, confirmedStep,
                holder.rejectedStep(), rejection));
        long interval = unanswered > MAX_UNANSWERED ? timing.renewalUs() / RETRIES_PER_RENEWAL
                : timing.renewalUs();
        nextRequestUs = nowUs + interval;
    }

    /** Follows a hint to another leader, or requests a lease early because the leader asks for it. */
    void onLeaderHint(PolicyMessage.LeaderHint hint, long nowUs) {
        boolean requestWanted = hint.leader() == hint.from();
        if (hint.leader() >= 0 && voters.contains(hint.leader()) && (requestWanted || hint.leader() != leader)) {
            leader = hint.leader();
            unanswered = 0;
            nextRequestUs = Math.min(nextRequestUs, nowUs + MIN_REQUEST_INTERVAL_US);
        }
    }

    /** Handles a grant; one that answers no open request is ignored. */
    void onLeaseGrant(PolicyMessage.LeaseGrant grant, long nowUs) {
        if (grant.processId() != processId || !holder.accepts(grant.requestId(), grant.step())) {
            return;
        }
        unanswered = 0;
        leader = grant.from();
        pendingGrant = grant;
        fetchMissingParts(nowUs);
    }

    /** Handles a part of a text. */
    void onPartResponse(PolicyMessage.PartResponse part, long nowUs) {
        versions.addPart(part.digest(), part.number(), part.text());
        if (pendingGrant != null) {
            applyGrantIfComplete(nowUs);
        }
    }

    private void fetchMissingParts(long nowUs) {
        nextFetchUs = nowUs + timing.renewalUs() / RETRIES_PER_RENEWAL;
        fetch(pendingGrant.policy(), pendingGrant.policyParts());
        boolean same = pendingGrant.next().equals(pendingGrant.policy());
        fetch(pendingGrant.next(), same ? pendingGrant.policyParts() : pendingGrant.nextParts());
        applyGrantIfComplete(nowUs);
    }

    private void fetch(String digest, int parts) {
        for (int number : versions.missingParts(digest, parts, PARTS_PER_FETCH)) {
            transport.send(leader, new PolicyMessage.PartRequest(self, digest, number));
        }
    }

    private void applyGrantIfComplete(long nowUs) {
        PolicyTransition step = pendingGrant.step();
        PolicyDocument policy = versions.find(pendingGrant.policy()).orElse(null);
        PolicyDocument next = step.inTransition() ? versions.find(pendingGrant.next()).orElse(null) : null;
        if (policy == null || step.inTransition() && next == null) {
            return;
        }
        PolicyMessage.LeaseGrant grant = pendingGrant;
        pendingGrant = null;
        boolean newStep = holder.step() == null || holder.step().number() != step.number();
        rejection = newStep && step.inTransition() ? validate.apply(next) : null;
        if (rejection != null) {
            holder = holder.reject(step);
        } else {
            holder = holder.grant(grant.requestId(), step, timing);
            if (newStep) {
                versions.retain(step.inTransition() ? List.of(grant.policy(), grant.next())
                        : List.of(grant.policy()));
            }
            view = new PolicyView(step, policy, next, holder.expiresAtUs(), grant.unconfirmed(),
                    grant.remainingUs(), grant.lastAbortReason());
            publish();
        }
        if (newStep) {
            nextRequestUs = Math.min(nextRequestUs, nowUs); // confirms or rejects the step at once
        }
    }

    private void publish() {
        view = new PolicyView(holder.step(), view.policy(), view.next(), holder.expiresAtUs(), view.unconfirmed(),
                view.remainingUs(), view.lastAbortReason());
        listener.accept(view);
    }
}
