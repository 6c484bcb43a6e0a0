package clovermill.controlplane.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** The kernel's table of processes. */
interface ProcessTable {

    /** Whether a process exists. */
    boolean exists(long pid);

    /** When a process started, in clock ticks since boot, which no step of a clock changes; empty if it has ended. */
    OptionalLong startTicks(long pid);

    /** Reads {@code /proc}; source: proc_pid_stat(5). */
    final class Linux implements ProcessTable {

        /** The index of {@code starttime}, field 22, among the fields after the command's name, which is field 2. */
        private static final int START_TIME_INDEX = 22 - 3;

        @Override
        public boolean exists(long pid) {
            return Files.exists(Path.of("/proc/" + pid));
        }

        @Override
        public OptionalLong startTicks(long pid) {
            try {
                // The command's name may contain any bytes, also blanks and brackets.
                return parse(Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1));
            } catch (IOException hasEnded) {
                return OptionalLong.empty();
            }
        }

        static OptionalLong parse(String stat) {
            String[] fields = stat.substring(stat.lastIndexOf(')') + 1).strip().split(" ");
            return fields.length > START_TIME_INDEX ? OptionalLong.of(Long.parseLong(fields[START_TIME_INDEX]))
                    : OptionalLong.empty();
        }
    }
}
