package clovermill.prove.scale;

import clovermill.prove.scale.Topology.Part;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Emulates the links between directors. It owns the address under which each director is known to the others, receives
 * datagrams there, identifies the sender by its source address, and forwards them to the director's own socket
 * according to {@link LinkRules}. Counts datagrams and bytes, including IP and UDP headers, by director. Each of a few
 * threads serves a part of the directors.
 */
final class LinkEmulator implements AutoCloseable {

    /** Bytes of the IPv4 and UDP headers of a datagram. */
    static final int HEADER_BYTES = 28;
    private static final int MAX_DATAGRAM_BYTES = 1 << 16;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 22;
    /** Maximum number of datagrams received from a socket before other sockets are served. */
    private static final int RECEIVE_BATCH = 64;
    private static final long NS_PER_MS = 1_000_000;

    /** Datagrams and bytes of one part, by director, since the start. */
    record Counts(long[] datagramsOut, long[] bytesOut, long[] datagramsIn, long[] bytesIn) {}

    private record Target(int director, Part part, DatagramChannel channel, InetSocketAddress real) {}

    private record Pending(long dueNs, long number, byte[] bytes, Target target) implements Comparable<Pending> {
        @Override
        public int compareTo(Pending other) {
            return dueNs != other.dueNs ? Long.compare(dueNs, other.dueNs) : Long.compare(number, other.number);
        }
    }

    private final Topology topology;
    private final LinkRules rules;
    private final List<Worker> workers = new ArrayList<>();
    private volatile boolean running = true;

    LinkEmulator(Topology topology, LinkRules rules, int threads) throws IOException {
        this.topology = topology;
        this.rules = rules;
        for (int i = 0; i < threads; i++) {
            workers.add(new Worker(i));
        }
        for (int i = 0; i < topology.directors(); i++) {
            for (Part part : Part.values()) {
                workers.get(i % threads).open(i, part);
            }
        }
        workers.forEach(Thread::start);
    }

    /** Returns the counts of a part. */
    Counts counts(Part part) {
        return new Counts(sum(part, 0), sum(part, 1), sum(part, 2), sum(part, 3));
    }

    private long[] sum(Part part, int which) {
        long[] all = new long[topology.directors()];
        for (Worker worker : workers) {
            for (int i = 0; i < all.length; i++) {
                all[i] += worker.counts[part.ordinal()][which].get(i);
            }
        }
        return all;
    }

    /** Returns the number of datagrams that could not be forwarded or had an unknown sender. */
    long faults() {
        return workers.stream().mapToLong(worker -> worker.faults).sum();
    }

    @Override
    public void close() {
        running = false;
        for (Worker worker : workers) {
            worker.selector.wakeup();
        }
    }

    /** A thread that serves the sockets of some directors. */
    private final class Worker extends Thread {
        private final Selector selector = Selector.open();
        private final SplittableRandom random;
        private final PriorityQueue<Pending> pending = new PriorityQueue<>();
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
        /** Counts by part: datagrams out, bytes out, datagrams in, bytes in. */
        private final AtomicLongArray[][] counts = new AtomicLongArray[Part.values().length][4];
        private long number;
        private volatile long faults;

        Worker(int index) throws IOException {
            super("links-" + index);
            setDaemon(true);
            random = new SplittableRandom(index);
            for (AtomicLongArray[] each : counts) {
                for (int i = 0; i < each.length; i++) {
                    each[i] = new AtomicLongArray(topology.directors());
                }
            }
        }

        void open(int director, Part part) throws IOException {
            DatagramChannel channel = DatagramChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.bind(topology.link(director, part));
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ,
                    new Target(director, part, channel, topology.real(director, part)));
        }

        @Override
        public void run() {
            try {
                while (running) {
                    long waitNs = pending.isEmpty() ? Long.MAX_VALUE : pending.peek().dueNs - System.nanoTime();
                    if (waitNs <= 0) {
                        selector.selectNow(this::receive);
                    } else {
                        selector.select(this::receive, Math.max(1, Math.min(100, waitNs / NS_PER_MS)));
                    }
                    forwardDue();
                }
                for (SelectionKey key : selector.keys()) {
                    key.channel().close();
                }
                selector.close();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }

        private void receive(SelectionKey key) {
            Target target = (Target) key.attachment();
            try {
                for (int i = 0; i < RECEIVE_BATCH; i++) {
                    buffer.clear();
                    InetSocketAddress source = (InetSocketAddress) target.channel.receive(buffer);
                    if (source == null) {
                        return;
                    }
                    accept(topology.directorAt(source.getAddress()), target);
                }
            } catch (IOException unreachable) {
                faults++; // ICMP port unreachable from a director that has no socket yet
            }
        }

        private void accept(int from, Target target) {
            if (from < 0) {
                faults++;
                return;
            }
            AtomicLongArray[] count = counts[target.part.ordinal()];
            add(count[0], from, 1);
            add(count[1], from, buffer.position() + HEADER_BYTES);
            long delayUs = rules.delayUs(from, target.director, random);
            if (delayUs != LinkRules.LOST) {
                byte[] bytes = new byte[buffer.flip().remaining()];
                buffer.get(bytes);
                pending.add(new Pending(System.nanoTime() + delayUs * 1000, number++, bytes, target));
            }
        }

        private void forwardDue() {
            long nowNs = System.nanoTime();
            while (!pending.isEmpty() && pending.peek().dueNs <= nowNs) {
                Pending next = pending.poll();
                AtomicLongArray[] count = counts[next.target.part.ordinal()];
                add(count[2], next.target.director, 1);
                add(count[3], next.target.director, next.bytes.length + HEADER_BYTES);
                try {
                    buffer.clear().put(next.bytes).flip();
                    faults += next.target.channel.send(buffer, next.target.real) > 0 ? 0 : 1;
                } catch (IOException unreachable) {
                    faults++;
                }
            }
        }

        private static void add(AtomicLongArray counts, int at, long more) {
            counts.lazySet(at, counts.get(at) + more);
        }
    }
}
