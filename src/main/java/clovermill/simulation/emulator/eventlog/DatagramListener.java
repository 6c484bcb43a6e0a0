package clovermill.simulation.emulator.eventlog;

/** A listener for the datagrams that machines send. */
@FunctionalInterface
public interface DatagramListener {
    /** Called when a datagram is sent. */
    void sent(int from, int to, byte[] bytes);
}
