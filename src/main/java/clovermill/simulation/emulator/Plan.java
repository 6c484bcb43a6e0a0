package clovermill.simulation.emulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The plan of an emulation. It is read from JSON, where an omitted field has its value from {@link #standard}.
 *
 * @param directors how many directors serve the single location
 * @param caches how many caches it has at first; half of them are about twice as large as the others
 * @param perDirector requests per second that a director receives on average
 * @param load requested load relative to the total capacity of the caches, which are sized accordingly
 * @param skew request rate of the first director, as a multiple of that of each other director
 * @param seconds duration of the run
 * @param settle seconds at the start that are not evaluated
 * @param objects number of objects
 * @param zipf exponent of the objects' popularity, 1/rank^{@code zipf}
 * @param keeps objects that one cache can store
 * @param workMs mean time to send one object at full rate
 * @param link capacity of the location's inbound link, relative to that of all caches
 * @param choice the router: {@code module} (the production router), {@code guess} (the same without load reports),
 *     {@code least} (the least loaded cache by reports) or {@code two} (the less loaded of two at random)
 * @param reports timing and quality of load reports
 * @param faults the faults to inject
 */
public record Plan(int directors, int caches, double perDirector, double load, double skew, int seconds, int settle,
        int objects, double zipf, int keeps, double workMs, double link, String choice, Reports reports,
        List<Fault> faults) {

    /**
     * The load reports of each cache.
     *
     * @param periodMs interval between reports
     * @param delayMs time from a report's creation until responses carry it
     * @param noise relative error of a report
     * @param loss share of responses without a report
     */
    public record Reports(int periodMs, int delayMs, double noise, double loss) {}

    /**
     * A fault. Kinds: {@code freeze} (all load reports stay unchanged), {@code mute} (a cache's responses carry no load
     * reports), {@code slow} (a cache sends at {@code factor} of its rate, which its load reports do not show), {@code
     * join} (a new, cold cache joins), {@code leave} (a cache drains and does not return), {@code kill} (a director
     * crashes, and restarts after {@code lasts}).
     *
     * @param at start, in seconds
     * @param lasts duration in seconds
     * @param which index of the cache or director, from 0
     */
    public record Fault(String kind, double at, double lasts, int which, double factor) {}

    /** Thrown for an invalid plan; the message names the field and the reason. */
    public static final class InvalidPlanException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidPlanException(String message) {
            super(message);
        }
    }

    private static final List<String> CHOICES = List.of("module", "guess", "least", "two");
    private static final List<String> FAULTS = List.of("freeze", "mute", "slow", "join", "leave", "kill");
    /** Bounds of a run: what one machine can simulate within minutes and within its memory. */
    private static final int MAX_DIRECTORS = 2000;
    private static final int MAX_CACHES = 500;
    private static final double MAX_REQUESTS = 5e6;

    /** Returns a plan in which the directors together receive 1000 requests per second, or one each if that is more. */
    public static Plan standard(int directors) {
        return new Plan(directors, 20, Math.max(1, 1000.0 / directors), 0.55, 1, 60, 15, 4000, 0.9, 600, 150, 0.5,
                "module", new Reports(500, 150, 0.1, 0.05), List.of());
    }

    /** Reads a plan from a file; omitted fields are as in the standard plan for its number of directors. */
    public static Plan read(Path file) throws IOException, InvalidPlanException {
        ObjectMapper mapper = new ObjectMapper();
        try {
            if (!(mapper.readTree(Files.readString(file)) instanceof ObjectNode given)) {
                throw new InvalidPlanException("/: an object was expected");
            }
            ObjectNode all = mapper.valueToTree(standard(given.path("directors").asInt(100)));
            all.setAll(given);
            Plan plan = mapper.treeToValue(all, Plan.class);
            plan.check();
            return plan;
        } catch (JsonMappingException wrong) {
            String at = wrong.getPath().stream().map(each -> each.getFieldName() == null ? "" + each.getIndex()
                    : each.getFieldName()).collect(Collectors.joining("/"));
            throw new InvalidPlanException("/" + at + ": " + wrong.getOriginalMessage());
        } catch (JsonProcessingException wrong) {
            throw new InvalidPlanException("not JSON: " + wrong.getOriginalMessage());
        }
    }

    /** Throws {@link InvalidPlanException} for a field that is out of range. */
    void check() throws InvalidPlanException {
        checkRange("directors", directors, 1, MAX_DIRECTORS);
        checkRange("caches", caches, 2, MAX_CACHES);
        checkRange("perDirector", perDirector, 0.01, 10_000);
        checkRange("load", load, 0.01, 3);
        checkRange("skew", skew, 1, 1000);
        checkRange("seconds", seconds, 2, 3600);
        checkRange("settle", settle, 0, seconds - 1);
        checkRange("objects", objects, 1, 1_000_000);
        checkRange("zipf", zipf, 0, 2);
        checkRange("keeps", keeps, 1, 1_000_000);
        checkRange("workMs", workMs, 1, 10_000);
        checkRange("link", link, 0.01, 100);
        checkRange("seconds x directors x perDirector", seconds * directors * perDirector, 0, MAX_REQUESTS);
        checkChoice("choice", choice, CHOICES);
        if (reports == null || faults == null) {
            throw new InvalidPlanException("/reports, /faults: may be left out, not null");
        }
        checkRange("reports/periodMs", reports.periodMs(), 1, 60_000);
        checkRange("reports/delayMs", reports.delayMs(), 0, 60_000);
        checkRange("reports/noise", reports.noise(), 0, 1);
        checkRange("reports/loss", reports.loss(), 0, 1);
        for (int i = 0; i < faults.size(); i++) {
            checkFault(i, faults.get(i));
        }
    }

    private void checkFault(int i, Fault fault) throws InvalidPlanException {
        checkChoice("faults/" + i + "/kind", fault.kind(), FAULTS);
        checkRange("faults/" + i + "/at", fault.at(), 0, seconds);
        checkRange("faults/" + i + "/lasts", fault.lasts(), 0, seconds);
        checkRange("faults/" + i + "/which", fault.which(), 0, (fault.kind().equals("kill") ? directors : caches) - 1);
        if (fault.kind().equals("slow")) {
            checkRange("faults/" + i + "/factor", fault.factor(), 0.01, 1);
        }
    }

    private static void checkRange(String field, double value, double min, double max) throws InvalidPlanException {
        if (!(value >= min && value <= max)) {
            throw new InvalidPlanException("/" + field + ": " + value + " is not between " + min + " and " + max);
        }
    }

    private static void checkChoice(String field, String choice, List<String> choices) throws InvalidPlanException {
        if (!choices.contains(choice)) {
            throw new InvalidPlanException("/" + field + ": " + choice + " is none of " + choices);
        }
    }

    /** Returns this plan with another router. */
    public Plan withChoice(String newChoice) {
        return new Plan(directors, caches, perDirector, load, skew, seconds, settle, objects, zipf, keeps, workMs, link,
                newChoice, reports, faults);
    }

    /** Returns this plan with an additional fault. */
    public Plan with(Fault fault) {
        List<Fault> more = new ArrayList<>(faults);
        more.add(fault);
        return new Plan(directors, caches, perDirector, load, skew, seconds, settle, objects, zipf, keeps, workMs, link,
                choice, reports, List.copyOf(more));
    }

    /** Returns this plan with another skew. */
    public Plan withSkew(double newSkew) {
        return new Plan(directors, caches, perDirector, load, newSkew, seconds, settle, objects, zipf, keeps, workMs,
                link, choice, reports, faults);
    }
}
