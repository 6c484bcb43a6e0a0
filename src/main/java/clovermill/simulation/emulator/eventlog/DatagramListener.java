package clovermill.simulation.emulator.eventlog;

/** Observes each datagram that a machine sends. */
@FunctionalInterface
public interface DatagramListener {
    /** A datagram was sent. */
    void sent(int from, int to, byte[] bytes);
}
