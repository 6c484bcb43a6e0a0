package clovermill.prove;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Datagrams;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The links between directors: one socket for each pair and way, which may drop, delay, repeat, spoil or cut. */
final class Relay implements AutoCloseable {

    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = Clock.system();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<InetSocketAddress> real;
    private final Datagrams[][] links;
    private volatile double loss;
    private volatile long delayUs;
    private volatile boolean spoils;
    /** Directors below this number hear nobody from there up; 0 cuts nothing. */
    private volatile int cut;
    /** A director that hears the others and is not heard, or -1. */
    private volatile int mute = -1;
    private ByteBuffer earlier;

    /** Links to directors that listen at such ports. */
    Relay(List<Integer> ports) throws IOException {
        real = ports.stream().map(port -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).toList();
        links = new Datagrams[ports.size()][ports.size()];
        for (int i = 0; i < ports.size(); i++) {
            for (int j = 0; j < ports.size(); j++) {
                int from = i;
                int to = j;
                links[i][j] = loop.datagrams(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        datagram -> pass(from, to, datagram));
            }
        }
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The addresses as one director is to have them: its own, and of others the links to them. */
    List<String> addresses(int self) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < real.size(); i++) {
            all.add("127.0.0.1:" + (i == self ? real.get(i).getPort() : links[self][i].port()));
        }
        return all;
    }

    void faults(double dropped, long delayMs, int cutBelow, boolean spoiling) {
        loss = dropped;
        delayUs = delayMs * 1000;
        cut = cutBelow;
        spoils = spoiling;
    }

    /** Nobody hears this director from now on; -1: all do. */
    void mute(int director) {
        mute = director;
    }

    private void pass(int from, int to, ByteBuffer datagram) {
        if (from == mute || random.nextDouble() < loss || cut > 0 && from < cut != to < cut) {
            return;
        }
        ByteBuffer copy = ByteBuffer.allocate(datagram.remaining()).put(datagram).flip();
        if (spoils) {
            // One changed in a byte, one cut short, one of somebody else's and one of before, beside the right one.
            ByteBuffer spoilt = ByteBuffer.wrap(copy.array().clone());
            spoilt.put(random.nextInt(spoilt.limit()), (byte) random.nextInt(256));
            out(to, spoilt);
            out(to, copy.duplicate().limit(random.nextInt(copy.limit())));
            out((to + 1) % real.size(), copy.duplicate());
            if (earlier != null) {
                out(to, earlier.duplicate());
            }
            earlier = copy.duplicate();
        }
        if (delayUs > 0) {
            deadlines.add(clock.micros() + random.nextLong(delayUs), () -> out(to, copy));
        } else {
            out(to, copy);
        }
    }

    private void out(int to, ByteBuffer datagram) {
        links[to][to].send(datagram, real.get(to));
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
