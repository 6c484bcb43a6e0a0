package clovermill.controlplane.handover;

/**
 * How many connections a process may hold of what its director may: clients get half of the descriptors and members a
 * quarter, the rest is for files and the like. While another process of the same director is there each has half of
 * that. Pure.
 */
public final class DescriptorShares {

    private static final int CLIENTS_PART = 2;
    private static final int MEMBERS_PART = 4;

    private final int sockets;

    /** {@code sockets} is the limit on descriptors of the whole director. */
    public DescriptorShares(int sockets) {
        this.sockets = sockets;
    }

    /** Connections of clients. */
    public int clients(boolean besideAnother) {
        return sockets / CLIENTS_PART / (besideAnother ? 2 : 1);
    }

    /** Connections to members. */
    public int members(boolean besideAnother) {
        return sockets / MEMBERS_PART / (besideAnother ? 2 : 1);
    }
}
