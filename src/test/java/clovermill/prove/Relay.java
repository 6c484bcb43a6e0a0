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

/** The links between directors: a socket for each ordered pair, which may drop, delay, repeat, corrupt or cut. */
final class Relay implements AutoCloseable {

    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = Clock.system();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<InetSocketAddress> directors;
    private final Datagrams[][] links;
    private volatile double lossRate;
    private volatile long delayUs;
    private volatile boolean corrupting;
    /** Partition: directors below this number cannot reach those from it on, and vice versa; 0 for none. */
    private volatile int cutBelow;
    /** A director whose datagrams are all dropped, while it still receives; -1 for none. */
    private volatile int mutedDirector = -1;
    private ByteBuffer previous;

    /** Creates links to directors that listen on the given ports. */
    Relay(List<Integer> ports) throws IOException {
        directors = ports.stream().map(port -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).toList();
        links = new Datagrams[ports.size()][ports.size()];
        for (int i = 0; i < ports.size(); i++) {
            for (int j = 0; j < ports.size(); j++) {
                int from = i;
                int to = j;
                links[i][j] = loop.datagrams(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        datagram -> forward(from, to, datagram));
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

    /** Returns the addresses for one director's configuration: its own, and the links to the others. */
    List<String> addresses(int self) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < directors.size(); i++) {
            all.add("127.0.0.1:" + (i == self ? directors.get(i).getPort() : links[self][i].port()));
        }
        return all;
    }

    void setFaults(double dropRate, long delayMs, int cutDirectors, boolean corrupt) {
        lossRate = dropRate;
        delayUs = delayMs * 1000;
        cutBelow = cutDirectors;
        corrupting = corrupt;
    }

    /** Drops all datagrams from this director; -1 for none. */
    void mute(int director) {
        mutedDirector = director;
    }

    private void forward(int from, int to, ByteBuffer datagram) {
        if (from == mutedDirector || random.nextDouble() < lossRate
                || cutBelow > 0 && from < cutBelow != to < cutBelow) {
            return;
        }
        ByteBuffer copy = ByteBuffer.allocate(datagram.remaining()).put(datagram).flip();
        if (corrupting) {
            // Besides the original: a changed byte, a truncated, a misdelivered and a replayed datagram.
            ByteBuffer corrupted = ByteBuffer.wrap(copy.array().clone());
            corrupted.put(random.nextInt(corrupted.limit()), (byte) random.nextInt(256));
            deliver(to, corrupted);
            deliver(to, copy.duplicate().limit(random.nextInt(copy.limit())));
            deliver((to + 1) % directors.size(), copy.duplicate());
            if (previous != null) {
                deliver(to, previous.duplicate());
            }
            previous = copy.duplicate();
        }
        if (delayUs > 0) {
            deadlines.add(clock.micros() + random.nextLong(delayUs), () -> deliver(to, copy));
        } else {
            deliver(to, copy);
        }
    }

    private void deliver(int to, ByteBuffer datagram) {
        links[to][to].send(datagram, directors.get(to));
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
