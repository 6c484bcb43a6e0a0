package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.EventLogTaskMessage;
import clovermill.simulation.emulator.world.World;
import java.util.Arrays;
import java.util.List;

/**
 * The links between the machines of an {@link EventLogFleet}: which of them are cut, and the traffic of each machine,
 * including IP and UDP headers.
 */
final class FleetLinks {

    /** Size of the IPv4 and UDP headers. */
    private static final int HEADER_BYTES = 28;

    private final World<EventLogTaskMessage> world;
    private final boolean[][] cut;
    private final Traffic[] traffic;
    private DatagramListener listener = (from, to, bytes) -> {};

    FleetLinks(World<EventLogTaskMessage> world) {
        this.world = world;
        this.cut = new boolean[world.size()][world.size()];
        this.traffic = new Traffic[world.size()];
        Arrays.fill(traffic, new Traffic(0, 0, 0, 0));
    }

    /** Sets the listener for datagrams, replacing the previous one. */
    void listener(DatagramListener newListener) {
        listener = newListener;
    }

    /** Sends a datagram. */
    void send(int from, int to, byte[] bytes) {
        listener.sent(from, to, bytes);
        traffic[from] = traffic[from].out(bytes.length + HEADER_BYTES);
        traffic[to] = traffic[to].in(bytes.length + HEADER_BYTES);
        world.send(from, to, new EventLogTaskMessage.DatagramReceived(bytes));
    }

    /** Returns the traffic of a machine so far. */
    Traffic traffic(int machine) {
        return traffic[machine];
    }

    /** Cuts or restores the link from one machine to another, but not the reverse direction. */
    void cut(int from, int to, boolean disconnected) {
        cut[from][to] = disconnected;
        world.cut(from, to, disconnected);
    }

    /** Cuts or restores both directions of the links between a set of machines and all others. */
    void isolate(List<Integer> machines, boolean disconnected) {
        for (int one : machines) {
            for (int other = 0; other < world.size(); other++) {
                if (!machines.contains(other)) {
                    cut(one, other, disconnected);
                    cut(other, one, disconnected);
                }
            }
        }
    }

    /** Restores all links. */
    void restoreAll() {
        world.restoreLinks();
        for (boolean[] from : cut) {
            Arrays.fill(from, false);
        }
    }

    /** Returns whether two machines reach each other. */
    boolean connected(int one, int other) {
        return !cut[one][other] && !cut[other][one];
    }
}
