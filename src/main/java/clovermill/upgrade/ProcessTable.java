package clovermill.upgrade;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** What the kernel knows of processes, by their numbers. */
interface ProcessTable {

    /** Whether a process of that number exists. */
    boolean exists(long pid);

    /** When it started, in the kernel's clock ticks since the machine's boot, which no step of a clock changes. */
    OptionalLong startTicks(long pid);

    /** By {@code /proc}; source: proc_pid_stat(5). */
    final class Linux implements ProcessTable {

        /** The place of {@code starttime} among the words behind the command's name, which is the second of all. */
        private static final int START_TIME_WORD = 22 - 3;

        @Override
        public boolean exists(long pid) {
            return Files.exists(Path.of("/proc/" + pid));
        }

        @Override
        public OptionalLong startTicks(long pid) {
            try {
                // A command's name is any bytes, blanks and brackets among them.
                return parse(Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1));
            } catch (IOException hasEnded) {
                return OptionalLong.empty();
            }
        }

        static OptionalLong parse(String stat) {
            String[] words = stat.substring(stat.lastIndexOf(')') + 1).strip().split(" ");
            return words.length > START_TIME_WORD ? OptionalLong.of(Long.parseLong(words[START_TIME_WORD]))
                    : OptionalLong.empty();
        }
    }
}
