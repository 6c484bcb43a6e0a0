package clovermill.simulation.emulator.eventlog;

/** Sees each datagram that leaves a machine. */
@FunctionalInterface
public interface DatagramListener {
    /** One leaves. */
    void sent(int from, int to, byte[] bytes);
}
