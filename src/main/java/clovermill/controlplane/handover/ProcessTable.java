package clovermill.controlplane.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** The kernel's table of processes. */
interface ProcessTable {

    /** Returns whether a process exists. */
    boolean exists(long pid);

    /** Returns the start of a process in clock ticks since boot, unaffected by clock steps; empty if it has exited. */
    OptionalLong startTicks(long pid);

    /** Reads {@code /proc}. Source: proc_pid_stat(5). */
    final class Linux implements ProcessTable {

        /** The index of field 22, {@code starttime}, among the fields after the command's name, which is field 2. */
        private static final int START_TIME_INDEX = 22 - 3;

        @Override
        public boolean exists(long pid) {
            return Files.exists(Path.of("/proc/" + pid));
        }

        @Override
        public OptionalLong startTicks(long pid) {
            try {
                // The command's name may contain any bytes, including spaces and parentheses.
                return parse(Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1));
            } catch (IOException exited) {
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
