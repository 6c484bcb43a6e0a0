package clovermill.ledger.decide;

/**
 * Decides, by the fill level of the queue to the disk, when requests of tenants whose usage must be recorded are
 * rejected. Some places are reserved for requests already in progress. Between the two thresholds the last decision
 * stays in force.
 */
public final class QueueAdmission {

    private final int rejectThreshold;
    private final int admitThreshold;
    private boolean rejecting;

    /**
     * Creates a queue admission; {@code reserve} places, at most half of the queue, are kept for requests already in
     * progress.
     */
    public QueueAdmission(int capacity, int reserve) {
        this.rejectThreshold = capacity - Math.min(reserve, capacity / 2);
        this.admitThreshold = rejectThreshold / 2;
    }

    /** Returns whether a request of such a tenant is rejected while {@code queued} places are in use. */
    public boolean rejects(int queued) {
        rejecting = rejecting ? queued > admitThreshold : queued >= rejectThreshold;
        return rejecting;
    }
}
