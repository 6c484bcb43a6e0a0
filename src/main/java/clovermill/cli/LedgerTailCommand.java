package clovermill.cli;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.Entry;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ledger tail}: prints the last entries of the log. */
@Command(name = "tail", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Print the last entries of the log.")
final class LedgerTailCommand extends LedgerFolderCommand {

    /** An entry with the header of its segment. */
    private record LogEntry(LogHeader header, Entry entry) {}

    @Option(names = "-n", paramLabel = "N", defaultValue = "10", description = "Number of entries (${DEFAULT-VALUE}).")
    private int count;

    @Override
    public Integer call() throws Exception {
        if (count < 1) {
            throw usageError("-n takes a number from 1");
        }
        LedgerFolder folder = folder();
        folder.identity();
        last(folder).forEach(json() ? this::printJson : this::printLine);
        return 0;
    }

    /** Returns the last entries, oldest first; reads only as many segments as needed. */
    private Deque<LogEntry> last(LedgerFolder folder) throws IOException {
        Deque<LogEntry> last = new ArrayDeque<>();
        List<LedgerFolder.Segment> segments = folder.segments();
        for (int from = segments.size() - 1; from >= 0 && last.size() < count; from--) {
            last.clear();
            LogReader reader = new LogReader(folder);
            for (LedgerFolder.Segment segment : segments.subList(from, segments.size())) {
                reader.read(segment, 0, (header, entry) -> {
                    last.add(new LogEntry(header, entry));
                    if (last.size() > count) {
                        last.poll();
                    }
                });
            }
        }
        return last;
    }

    private void printJson(LogEntry logged) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("epoch", logged.header.epoch());
        object.put("type", logged.entry.getClass().getSimpleName().toLowerCase(Locale.ROOT));
        object.put("entry", logged.entry);
        Output.json(out(), object);
    }

    private void printLine(LogEntry logged) {
        out().println(logged.header.epoch() + "/" + logged.entry.seq() + " " + describe(logged.header, logged.entry));
    }

    private static String describe(LogHeader header, Entry entry) {
        if (entry instanceof Entry.Used used) {
            return describe(header, used);
        } else if (entry instanceof Entry.Gap gap) {
            return LedgerFormat.time(gap.firstMs()) + " " + LedgerFormat.printable(gap.tenant()) + " GAP of "
                    + gap.count() + " requests, " + gap.written() + " bytes";
        } else if (entry instanceof Entry.Close close) {
            return LedgerFormat.time(close.atMs()) + " CLOSED through " + LedgerFormat.time(close.throughMs())
                    + ", batch " + close.number();
        }
        Entry.ClockStep step = (Entry.ClockStep) entry;
        return LedgerFormat.time(step.lineMs()) + " CLOCK " + step.stepMs() + " ms off"
                + (step.taken() ? ", adopted" : "");
    }

    private static String describe(LogHeader header, Entry.Used used) {
        boolean named = used.requestClass() < header.classes().size();
        String className = named ? header.classes().get(used.requestClass()) : "#" + used.requestClass();
        return LedgerFormat.time(used.takenMs()) + " " + LedgerFormat.printable(used.tenant()) + " " + className + " "
                + String.format("%016x", used.request()) + " " + used.end() + " " + used.how() + " " + used.written()
                + " bytes, " + used.attempts() + " attempts" + (used.repeat() ? ", repeat" : "");
    }
}
