package clovermill.prove.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads statistics of processes and of the machine from {@code /proc} on Linux. */
final class ProcessTable {

    private static final Path PROC = Path.of("/proc");

    /** The idle and total ticks of all cores. */
    record Cores(long idle, long all) {

        /** Returns the share of idle time since an earlier reading. */
        double idleSince(Cores before) {
            return (double) (idle - before.idle) / Math.max(1, all - before.all);
        }
    }

    private ProcessTable() {}

    /** Returns the resident set of a process in KB. */
    static long residentKb(long pid) {
        return lines(PROC.resolve(pid + "/status")).filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).findFirst().orElse(0);
    }

    /** Returns the CPU time of all current threads of a process, in nanoseconds. */
    static long cpuNs(long pid) {
        try (Stream<Path> threads = Files.list(PROC.resolve(pid + "/task"))) {
            return threads.mapToLong(thread -> lines(thread.resolve("schedstat"))
                    .mapToLong(line -> Long.parseLong(line.split(" ")[0])).findFirst().orElse(0)).sum();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** Returns the CPU time of the threads of a process that have the given name, in nanoseconds. */
    static long cpuNs(long pid, String threadName) {
        try (Stream<Path> threads = Files.list(PROC.resolve(pid + "/task"))) {
            return threads.filter(thread -> lines(thread.resolve("comm")).anyMatch(threadName::equals))
                    .mapToLong(thread -> lines(thread.resolve("schedstat"))
                            .mapToLong(line -> Long.parseLong(line.split(" ")[0])).findFirst().orElse(0))
                    .sum();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** Returns the ticks of all cores since boot. */
    static Cores cores() {
        String[] fields = lines(PROC.resolve("stat")).findFirst().orElseThrow().trim().split("\\s+");
        long all = 0;
        for (int i = 1; i <= 8 && i < fields.length; i++) {
            all += Long.parseLong(fields[i]);
        }
        return new Cores(Long.parseLong(fields[4]) + Long.parseLong(fields[5]), all);
    }

    /** Returns the datagrams dropped at full receive buffers since boot. */
    static long droppedDatagrams() {
        List<String> udp = lines(PROC.resolve("net/snmp")).filter(line -> line.startsWith("Udp:")).toList();
        List<String> names = List.of(udp.get(0).split(" "));
        return Long.parseLong(udp.get(1).split(" ")[names.indexOf("RcvbufErrors")]);
    }

    private static Stream<String> lines(Path file) {
        try {
            return Files.readAllLines(file).stream();
        } catch (IOException ended) {
            return Stream.empty();
        }
    }
}
