package clovermill.prove.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The time that all cores have spent so far by state, in kernel ticks. */
record MachineUsage(long total, long idle, long stolen) {

    private static final int IDLE = 4;
    private static final int IO_WAIT = 5;
    private static final int STEAL = 8;

    static MachineUsage now() throws IOException {
        String[] cells = Files.readAllLines(Path.of("/proc/stat")).get(0).split(" +");
        long total = 0;
        for (int i = 1; i <= STEAL; i++) {
            total += Long.parseLong(cells[i]);
        }
        return new MachineUsage(total, Long.parseLong(cells[IDLE]) + Long.parseLong(cells[IO_WAIT]),
                Long.parseLong(cells[STEAL]));
    }

    /** Returns the share of idle time since an earlier reading. */
    double idleShare(MachineUsage earlier) {
        return (double) (idle - earlier.idle) / (total - earlier.total);
    }

    /** Returns the share of time since an earlier reading that the hypervisor gave to other guests. */
    double stolenShare(MachineUsage earlier) {
        return (double) (stolen - earlier.stolen) / (total - earlier.total);
    }
}
