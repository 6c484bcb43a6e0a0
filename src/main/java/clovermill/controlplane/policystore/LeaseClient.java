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
 * The lease client of a director. It requests leases from the leader, fetches the texts that a grant names, validates
 * the new policy, and publishes the policy in force. Not thread-safe.
 */
final class LeaseClient {

    /** The maximum number of unanswered requests to one voter before another one is tried. */
    private static final int MAX_UNANSWERED = 2;
    private static final int PARTS_PER_FETCH = 16;
    /** The minimum interval between requests, regardless of how often the leader asks for one. */
    private static final long MIN_REQUEST_INTERVAL_US = 20_000;
    /** The number of retries of a fetch, or of the search for the leader, in one renewal interval. */
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
    /** The grant whose texts are being fetched, or null. */
    private PolicyMessage.LeaseGrant pendingGrant;
    private String rejection;
    private long lastTickUs = Long.MIN_VALUE / 2;
    private long nextRequestUs;
    private long nextFetchUs;
    private long requestId;
    private int leader;
    private int unanswered;

    /**
     * Creates a client without a lease; it sends its first request in the first tick.
     *
     * @param processId an ID that distinguishes this process from earlier ones of the same director
     * @param validate returns the reason why this director cannot apply a policy, or null
     * @param listener called with each new view
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

    /** Returns the voter to which requests are sent. */
    int leader() {
        return leader;
    }

    /** Returns the policy in force at this director. */
    PolicyView view() {
        return view;
    }

    /** Sends the messages that are due; returns the time at which to call it again. */
    long tick(long nowUs) {
        if (nowUs < lastTickUs) { // a clock that goes backwards would extend the lease
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

    /** Switches to the leader that a hint names, or requests a lease early because the leader asks for one. */
    void onLeaderHint(PolicyMessage.LeaderHint hint, long nowUs) {
        boolean requestWanted = hint.leader() == hint.from();
        if (hint.leader() >= 0 && voters.contains(hint.leader()) && (requestWanted || hint.leader() != leader)) {
            leader = hint.leader();
            unanswered = 0;
            nextRequestUs = Math.min(nextRequestUs, nowUs + MIN_REQUEST_INTERVAL_US);
        }
    }

    /** Handles a grant; a grant without an unanswered request is ignored. */
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
        boolean sameText = pendingGrant.next().equals(pendingGrant.policy());
        fetch(pendingGrant.next(), sameText ? pendingGrant.policyParts() : pendingGrant.nextParts());
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
