package clovermill.controlplane.handover;

/**
 * How many connections a process may hold, as parts of the director's limit on descriptors: half for clients and a
 * quarter for endpoints, the rest for files and the like. While two processes run each may hold half of that.
 */
public final class DescriptorShares {

    private static final int CLIENTS_DIVISOR = 2;
    private static final int ENDPOINTS_DIVISOR = 4;

    private final int descriptorLimit;

    /** {@code descriptorLimit} is for all processes of the director together. */
    public DescriptorShares(int descriptorLimit) {
        this.descriptorLimit = descriptorLimit;
    }

    /** The limit on connections from clients. */
    public int clientConnections(boolean besideAnother) {
        return descriptorLimit / CLIENTS_DIVISOR / (besideAnother ? 2 : 1);
    }

    /** The limit on connections to endpoints. */
    public int endpointConnections(boolean besideAnother) {
        return descriptorLimit / ENDPOINTS_DIVISOR / (besideAnother ? 2 : 1);
    }
}
