package clovermill.controlplane.gossip.decide;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Borrows and lends parts of the limits by messages: requests what this director's shares fall short of, grants what
 * they can spare, and accepts each loan once, and only if this incarnation requested it (by its nonce). Not
 * thread-safe; times are microseconds of the owner's clock.
 */
final class LoanExchange {

    /** Loan requests without an answer, by limit; older ones are dropped, and loans for them are ignored. */
    private static final int MAX_PENDING_REQUESTS = 64;

    private final List<LimitShare> shares;
    private final RandomGenerator random;
    /** By limit: when the loan of a nonce was requested. */
    private final List<Map<Long, Long>> pendingRequests = new ArrayList<>();

    /** {@code shares} are this director's, in the same order at all directors; nonces are drawn from {@code random}. */
    LoanExchange(List<? extends LimitShare> shares, RandomGenerator random) {
        this.shares = List.copyOf(shares);
        this.random = random;
        shares.forEach(each -> pendingRequests.add(new LinkedHashMap<>()));
    }

    /** This director's share of a limit. */
    LimitShare share(int limit) {
        return shares.get(limit);
    }

    /** Withholds all lendable parts for a term: another process of this director may still admit and lend. */
    void restart(long nowUs) {
        shares.forEach(share -> share.restart(nowUs));
    }

    /** Requests for each limit's shortfall, all to one peer; none to one that is unreachable. */
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

    /** Accepts a loan if this director requested it, and only once. */
    void borrow(GossipMessage.Loan loan, long nowUs) {
        if (!isLimit(loan.limit())) {
            return;
        }
        Long requestedUs = pendingRequests.get(loan.limit()).remove(loan.nonce());
        if (requestedUs != null) {
            shares.get(loan.limit()).borrow(loan.amount(), requestedUs, nowUs);
        }
    }

    /** Grants what it can; one loan for each limit at most, so that all fit the datagram. */
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
