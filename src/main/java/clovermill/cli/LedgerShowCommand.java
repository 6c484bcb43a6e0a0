package clovermill.cli;

import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.totals.TotalsStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ledger show}: totals by period and tenant. */
@Command(name = "show", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Show totals by period and tenant, closed and open, with corrections.")
final class LedgerShowCommand extends LedgerFolderCommand {

    @Option(names = "--tenant", description = "Show only this tenant.")
    private String tenant;
    @Option(names = "--last", paramLabel = "N", defaultValue = "24",
            description = "Number of last batches to show (${DEFAULT-VALUE}).")
    private int last;

    @Override
    public Integer call() throws Exception {
        List<List<String>> rows = new ArrayList<>();
        List<Object> objects = new ArrayList<>();
        try (TotalsStore store = TotalsStore.open(folder()); Output.Progress progress = Output.progress("reading")) {
            store.update(progress);
            long from = store.aggregator().closings() - last;
            for (TotalsStore.BatchInfo info : store.batches().tailMap(from, false).values()) {
                TotalsAggregator.Batch batch = store.batch(info.number());
                String state = info.acknowledged() == null ? "closed" : "exported";
                add(batch.totals(), state, rows, objects);
                add(batch.corrections(), "correction", rows, objects);
            }
            add(new TreeMap<>(store.aggregator().corrections()), "correction due", rows, objects);
            add(new TreeMap<>(store.aggregator().open()), "open", rows, objects);
        }
        if (json()) {
            Output.json(out(), objects);
        } else {
            Output.table(out(), LedgerFormat.COLUMNS, rows);
        }
        return 0;
    }

    private void add(Map<TotalsAggregator.Key, Totals> from, String state, List<List<String>> rows,
            List<Object> objects) {
        from.forEach((key, totals) -> {
            if (tenant == null || tenant.equals(key.tenant())) {
                rows.add(LedgerFormat.row(key, state, totals));
                objects.add(LedgerFormat.object(key, state, totals));
            }
        });
    }
}
