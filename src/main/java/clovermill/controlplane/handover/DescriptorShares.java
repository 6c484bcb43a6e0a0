package clovermill.controlplane.handover;

/**
 * Limits on a process's connections, as fractions of the director's limit on descriptors: half for clients and a
 * quarter for endpoints; the rest is for files and other descriptors. While two processes run, each has half of that.
 */
public final class DescriptorShares {

    private static final int CLIENTS_DIVISOR = 2;
    private static final int ENDPOINTS_DIVISOR = 4;

    private final int descriptorLimit;

    /**
     * Creates the shares of one limit.
     *
     * @param descriptorLimit the limit for all processes of the director together
     */
    public DescriptorShares(int descriptorLimit) {
        this.descriptorLimit = descriptorLimit;
    }

    /** Returns the limit on connections from clients. */
    public int clientConnections(boolean otherProcessRuns) {
        return descriptorLimit / CLIENTS_DIVISOR / (otherProcessRuns ? 2 : 1);
    }

    /** Returns the limit on connections to endpoints. */
    public int endpointConnections(boolean otherProcessRuns) {
        return descriptorLimit / ENDPOINTS_DIVISOR / (otherProcessRuns ? 2 : 1);
    }
}
