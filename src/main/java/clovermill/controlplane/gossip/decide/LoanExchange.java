package clovermill.controlplane.gossip.decide;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Lends and borrows parts of the limits by messages: requests loans for the shortfall of this director's shares, grants
 * loans of their spare amounts, and accepts each loan once, and only if this incarnation requested it (as its nonce
 * shows). Not thread-safe; times are microseconds of the owner's clock.
 */
final class LoanExchange {

    /** Maximum unanswered loan requests per limit; the oldest are dropped, and loans for them are ignored. */
    private static final int MAX_PENDING_REQUESTS = 64;

    private final List<LimitShare> shares;
    private final RandomGenerator random;
    /** For each limit, the time of each unanswered request, by its nonce. */
    private final List<Map<Long, Long>> pendingRequests = new ArrayList<>();

    /**
     * Creates an exchange without pending requests.
     *
     * @param shares this director's shares of the limits, in the same order at all directors
     * @param random the source of nonces
     */
    LoanExchange(List<? extends LimitShare> shares, RandomGenerator random) {
        this.shares = List.copyOf(shares);
        this.random = random;
        shares.forEach(each -> pendingRequests.add(new LinkedHashMap<>()));
    }

    /** Returns this director's share of a limit. */
    LimitShare share(int limit) {
        return shares.get(limit);
    }

    /** Withholds all lendable parts for one term, as another process of this director may still admit and lend. */
    void restart(long nowUs) {
        shares.forEach(share -> share.restart(nowUs));
    }

    /** Returns a request to one peer for each limit with a shortfall; none if the peer is unreachable. */
    List<GossipMessage.LoanRequest> requests(PeerState peer, long nowUs) {
        List<GossipMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < shares.size(); i++) {
            double shortfall = shares.get(i).shortfall(nowUs);
            if (shortfall > 0 && peer != PeerState.UNREACHABLE) {
                long nonce = random.nextLong();
                addPending(pendingRequests.get(i), nonce, nowUs);
                requests.add(new GossipMessage.LoanRequest(i, nonce, Math.min(shortfall, shares.get(i).maxRequest())));
            }
        }
        return requests;
    }

    private static void addPending(Map<Long, Long> pending, long nonce, long nowUs) {
        pending.put(nonce, nowUs);
        Iterator<Long> oldest = pending.keySet().iterator();
        while (pending.size() > MAX_PENDING_REQUESTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Adds a loan to its share, once, and only if this director requested it. */
    void borrow(GossipMessage.Loan loan, long nowUs) {
        if (!isLimit(loan.limit())) {
            return;
        }
        Long requestedUs = pendingRequests.get(loan.limit()).remove(loan.nonce());
        if (requestedUs != null) {
            shares.get(loan.limit()).borrow(loan.amount(), requestedUs, nowUs);
        }
    }

    /** Grants as many requests as possible, at most one for each limit, so that all loans fit into the datagram. */
    List<GossipMessage.Loan> lend(List<GossipMessage.LoanRequest> requests, long nowUs) {
        List<GossipMessage.Loan> loans = new ArrayList<>();
        for (GossipMessage.LoanRequest request : requests) {
            if (isLimit(request.limit()) && loans.size() < shares.size()) {
                double granted = shares.get(request.limit()).lend(request.amount(), nowUs);
                if (granted > 0) {
                    loans.add(new GossipMessage.Loan(request.limit(), request.nonce(), granted));
                }
            }
        }
        return loans;
    }

    private boolean isLimit(int limit) {
        return limit >= 0 && limit < shares.size();
    }
}
