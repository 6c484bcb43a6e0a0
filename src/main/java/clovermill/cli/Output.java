package clovermill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/** The output of commands: tables, JSON, and progress on standard error. */
final class Output {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private Output() {}

    /** Prints a value as JSON. */
    static void json(PrintWriter out, Object value) {
        try {
            out.println(JSON.writeValueAsString(value));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /** Prints rows in columns, with numbers aligned to the right. */
    static void table(PrintWriter out, List<String> names, List<List<String>> rows) {
        List<List<String>> all = new ArrayList<>(List.of(names));
        all.addAll(rows);
        int[] widths = new int[names.size()];
        for (List<String> row : all) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : all) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                boolean number = !rows.isEmpty() && rows.get(0).get(i).matches("[0-9.]+");
                line.append(String.format("%" + (number ? "" : "-") + Math.max(1, widths[i]) + "s  ", row.get(i)));
            }
            out.println(line.toString().stripTrailing());
        }
    }

    /** Returns a progress display for a long task; it shows the number of entries read if a console is attached. */
    static Progress progress(String task) {
        return new Progress(task);
    }

    /** A progress bar on standard error; does nothing if no console is attached. */
    static final class Progress implements LongConsumer, AutoCloseable {
        private final ProgressBar bar;

        private Progress(String task) {
            bar = System.console() == null ? null : new ProgressBarBuilder().setTaskName(task).setInitialMax(-1)
                    .setStyle(ProgressBarStyle.ASCII).setUnit(" records", 1).build();
        }

        @Override
        public void accept(long done) {
            if (bar != null) {
                bar.stepTo(done);
            }
        }

        @Override
        public void close() {
            if (bar != null) {
                bar.close();
            }
        }
    }
}
