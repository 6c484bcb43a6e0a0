package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.EventLogTaskMessage;
import clovermill.simulation.emulator.world.World;
import java.util.Arrays;
import java.util.List;

/**
 * The links between the machines of an {@link EventLogFleet}: which are cut, and what each machine has sent and
 * received, in bytes with the headers of IP and UDP.
 */
final class FleetLinks {

    /** Bytes of the headers of IPv4 and UDP. */
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

    /** Has each datagram that leaves a machine seen, in place of who saw them before. */
    void listener(DatagramListener newListener) {
        listener = newListener;
    }

    /** A datagram leaves a machine. */
    void send(int from, int to, byte[] bytes) {
        listener.sent(from, to, bytes);
        traffic[from] = traffic[from].out(bytes.length + HEADER_BYTES);
        traffic[to] = traffic[to].in(bytes.length + HEADER_BYTES);
        world.send(from, to, new EventLogTaskMessage.DatagramReceived(bytes));
    }

    /** What a machine has sent and been sent so far. */
    Traffic traffic(int machine) {
        return traffic[machine];
    }

    /** Cuts or mends the way from one machine to another, and not the way back. */
    void cut(int from, int to, boolean off) {
        cut[from][to] = off;
        world.cut(from, to, off);
    }

    /** Cuts or mends both ways between all of one set of machines and all others. */
    void isolate(List<Integer> machines, boolean off) {
        for (int one : machines) {
            for (int other = 0; other < world.size(); other++) {
                if (!machines.contains(other)) {
                    cut(one, other, off);
                    cut(other, one, off);
                }
            }
        }
    }

    /** Mends all links. */
    void mendAll() {
        world.mend();
        for (boolean[] from : cut) {
            Arrays.fill(from, false);
        }
    }

    /** Whether two machines reach each other. */
    boolean connected(int one, int other) {
        return !cut[one][other] && !cut[other][one];
    }
}
