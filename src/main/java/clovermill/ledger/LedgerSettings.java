package clovermill.ledger;

import clovermill.config.tenants.TenantRules;
import clovermill.ledger.decide.UsageLimits;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The section {@code /ledger} of the settings file; docs/operate/ledger.md describes each setting. */
public record LedgerSettings(String folder, String instance,
        @JsonProperty("period_s") Long periodS, @JsonProperty("lateness_s") Long latenessS,
        @JsonProperty("queue_kb") Integer queueKb,
        @JsonProperty("stage_folder") String stageFolder,
        @JsonProperty("gather_ms") Long gatherMs, @JsonProperty("sync_ms") Long syncMs,
        @JsonProperty("sync_kb") Integer syncKb,
        @JsonProperty("segment_mb") Integer segmentMb, @JsonProperty("retry_ms") Long retryMs,
        @JsonProperty("leave_ms") Long leaveMs, ClockRule clock,
        @JsonProperty("default_tenant") String defaultTenant, List<Tenant> tenants,
        @JsonProperty("refuse_when_full") List<String> refuseWhenFull, List<Limit> limits,
        @JsonProperty("shares_file") String sharesFile, Retention retention, Export export) {

    /** The in-memory file system of Linux, whose files survive a process but not a reboot. */
    private static final String SHARED_MEMORY = "/dev/shm";

    /**
     * Differences of the system clock below {@code toleranceMs} are slewed; larger ones must last for {@code
     * settleS}.
     */
    public record ClockRule(@JsonProperty("tolerance_ms") Long toleranceMs, @JsonProperty("settle_s") Long settleS) {

        /** Sets defaults for absent settings. */
        public ClockRule {
            toleranceMs = toleranceMs == null ? 2000 : toleranceMs;
            settleS = settleS == null ? 300 : settleS;
        }
    }

    /**
     * Assigns requests of a class (all, if absent) for objects of the groups from the first to the second number to a
     * tenant.
     */
    public record Tenant(String tenant, @JsonProperty("class") String requestClass, List<Integer> groups) {}

    /** The usage limit of a tenant for a period, on all instances together. */
    public record Limit(String tenant, Long bytes, Long requests, Double soft,
            @JsonProperty("low_worth") List<String> lowWorth) {}

    /** The age in days and the total size in megabytes beyond which exported segments may be deleted. */
    public record Retention(Integer days, Integer mb) {}

    /** The destinations of batches: files in a folder, a receiver over HTTP, or both. */
    public record Export(String folder, String format, String receiver, Integer attempts,
            @JsonProperty("timeout_ms") Integer timeoutMs) {

        /** Sets defaults for absent settings. */
        public Export {
            format = format == null ? "csv" : format;
            attempts = attempts == null ? 5 : attempts;
            timeoutMs = timeoutMs == null ? 5000 : timeoutMs;
        }
    }

    /** Sets defaults for absent settings. */
    public LedgerSettings {
        periodS = periodS == null ? 3600 : periodS;
        latenessS = latenessS == null ? 60 : latenessS;
        queueKb = queueKb == null ? 8192 : queueKb;
        stageFolder = stageFolder == null ? SHARED_MEMORY : stageFolder;
        gatherMs = gatherMs == null ? 500 : gatherMs;
        syncMs = syncMs == null ? 0 : syncMs;
        syncKb = syncKb == null ? 512 : syncKb;
        segmentMb = segmentMb == null ? 64 : segmentMb;
        retryMs = retryMs == null ? 1000 : retryMs;
        leaveMs = leaveMs == null ? 5000 : leaveMs;
        clock = clock == null ? new ClockRule(null, null) : clock;
        defaultTenant = defaultTenant == null ? "unassigned" : defaultTenant;
        tenants = tenants == null ? List.of() : List.copyOf(tenants);
        refuseWhenFull = refuseWhenFull == null ? List.of() : List.copyOf(refuseWhenFull);
        limits = limits == null ? List.of() : List.copyOf(limits);
        retention = retention == null ? new Retention(null, null) : retention;
    }

    /** Returns default settings for a folder. */
    public static LedgerSettings in(String folder) {
        return new LedgerSettings(folder, null, null, null, null, null, null, null, null, null, null, null, null, null,
                null, null, null, null, null, null);
    }

    /** Returns the length of a period in milliseconds. */
    public long periodMs() {
        return periodS * 1000;
    }

    /**
     * Returns the rules that assign requests to tenants; throws {@link IllegalArgumentException} naming an unknown
     * class.
     */
    TenantRules rules(List<String> classes) {
        return new TenantRules(tenants.stream().map(each -> new TenantRules.Rule(each.tenant(),
                each.requestClass() == null ? -1 : number(classes, each.requestClass(), "tenant " + each.tenant()),
                each.groups() == null ? 0 : each.groups().get(0),
                each.groups() == null ? TenantRules.GROUPS - 1 : each.groups().get(1))).toList(), defaultTenant,
                classes.size());
    }

    /** Returns the limits by tenant; throws {@link IllegalArgumentException} naming an unknown class. */
    Map<String, UsageLimits.Limit> usageLimits(List<String> classes) {
        Map<String, UsageLimits.Limit> result = new HashMap<>();
        for (Limit limit : limits) {
            Set<Integer> lowWorth = limit.lowWorth() == null ? Set.of() : limit.lowWorth().stream()
                    .map(name -> number(classes, name, "the limit of " + limit.tenant())).collect(Collectors.toSet());
            result.put(limit.tenant(), new UsageLimits.Limit(limit.bytes() == null ? 0 : limit.bytes(),
                    limit.requests() == null ? 0 : limit.requests(), limit.soft() == null ? 1 : limit.soft(),
                    lowWorth));
        }
        return result;
    }

    /** Throws {@link IllegalArgumentException} if the settings do not match these classes. */
    public void check(List<String> classes) {
        rules(classes);
        usageLimits(classes);
    }

    private static int number(List<String> classes, String name, String settingName) {
        int number = classes.indexOf(name);
        if (number < 0) {
            throw new IllegalArgumentException(settingName + " names the unknown class " + name);
        }
        return number;
    }
}
