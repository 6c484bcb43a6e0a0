package clovermill.prove.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The CPU use of a process so far, from the kernel's scheduler statistics of its threads.
 *
 * @param cpuNs time running on a core
 * @param waitedNs time runnable but not running, including the wake-up of a sleeping core
 * @param runs number of times it was scheduled on a core
 */
record ProcessUsage(long cpuNs, long waitedNs, long runs) {

    /** Returns the sum over the current threads; the use of threads that have ended is not included. */
    static ProcessUsage of(long pid) throws IOException {
        long cpu = 0;
        long waited = 0;
        long runs = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", "" + pid, "task"))) {
            for (Path thread : threads.toList()) {
                String[] counts = Files.readString(thread.resolve("schedstat")).strip().split(" ");
                cpu += Long.parseLong(counts[0]);
                waited += Long.parseLong(counts[1]);
                runs += Long.parseLong(counts[2]);
            }
        }
        return new ProcessUsage(cpu, waited, runs);
    }

    ProcessUsage since(ProcessUsage earlier) {
        return new ProcessUsage(cpuNs - earlier.cpuNs, waitedNs - earlier.waitedNs, runs - earlier.runs);
    }

    /** Returns a value of {@code /proc/PID/status} in kB, such as {@code VmRSS}. */
    static long kilobytes(long pid, String name) throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc", "" + pid, "status"));
        return lines.stream().filter(line -> line.startsWith(name + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).findFirst().orElseThrow();
    }
}
